package org.amaranthstream.standins.engine;

/** Last line of a whole answer. */
record EndLine(String attempt, boolean end, long tokens, String finishReason) {}
