package org.amaranthstream.standins.engine;

/** Answer to a request that was not run. */
record Refusal(boolean notRun, boolean draining, String reason) {}
