package org.amaranthstream.standins.engine;

/**
 * JSON body of the response to a request that failed or was rejected.
 *
 * @param notRun whether the request certainly did not run
 * @param draining whether the engine is draining
 * @param reason description for humans
 */
record Rejection(boolean notRun, boolean draining, String reason) {}
