package org.amaranthstream.bench.decisions;

/**
 * Measures of one run.
 *
 * @param requests requests that were counted, of both priorities
 * @param interactive interactive requests that arrived
 * @param inTimeShare share of them that was answered in time
 * @param refusedShare share of them that was refused without a run
 * @param errorShare share of them that may have run and got no whole answer
 * @param goodput interactive answers in time, each second
 * @param medianMillis median latency of answers
 * @param p99Millis 99th percentile of the latency of answers
 * @param trainingInTimeShare share of the training requests that was answered in time
 * @param trainingTokens mean length of the training answers, in tokens
 * @param wastedShare share of the generated tokens that was not part of a whole answer
 * @param cacheHitShare share of the starts that found their prefix cached
 * @param lateRefusalShare share of the refusals that came more than 50 ms after the arrival
 * @param failures attempts that a server failed
 * @param crashes crashes of servers
 */
record RunResult(
    int requests,
    int interactive,
    double inTimeShare,
    double refusedShare,
    double errorShare,
    double goodput,
    double medianMillis,
    double p99Millis,
    double trainingInTimeShare,
    double trainingTokens,
    double wastedShare,
    double cacheHitShare,
    double lateRefusalShare,
    int failures,
    int crashes) {}
