package org.amaranthstream.bench.decisions;

/**
 * Measurements of one run.
 *
 * @param requests number of counted requests of both priorities
 * @param interactive number of counted interactive requests
 * @param inTimeShare share of the interactive requests that completed in time
 * @param rejectedShare share of the interactive requests that were rejected without a run
 * @param errorShare share of the interactive requests that may have run and did not complete
 * @param goodput interactive requests completed in time, per second
 * @param medianMillis median latency of completed interactive requests, in ms
 * @param p99Millis 99th percentile of the latency of completed interactive requests, in ms
 * @param trainingInTimeShare share of the training requests that completed in time
 * @param trainingTokens mean length of the training responses, in tokens
 * @param wastedShare share of the generated tokens that were not part of a complete response
 * @param cacheHitShare share of the started attempts whose prefix was cached
 * @param lateRejectionShare share of the rejections more than 50 ms after the arrival
 * @param failures number of attempts that servers failed
 * @param crashes number of server crashes
 */
record RunResult(
    int requests,
    int interactive,
    double inTimeShare,
    double rejectedShare,
    double errorShare,
    double goodput,
    double medianMillis,
    double p99Millis,
    double trainingInTimeShare,
    double trainingTokens,
    double wastedShare,
    double cacheHitShare,
    double lateRejectionShare,
    int failures,
    int crashes) {}
