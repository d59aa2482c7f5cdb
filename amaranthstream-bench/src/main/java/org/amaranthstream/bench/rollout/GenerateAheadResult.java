package org.amaranthstream.bench.rollout;

/**
 * Result of one run of the generate-ahead simulation.
 *
 * @param idleShare share of the time for which the trainer was idle
 * @param stalenessMedian median staleness of the delivered samples, in versions
 * @param stalenessP99 99th percentile of the staleness, in versions
 * @param stalenessMax maximum staleness, in versions
 * @param droppedShare number of samples dropped as too old, divided by that of delivered ones
 * @param meanStepsAhead mean of the chosen numbers of steps ahead
 */
record GenerateAheadResult(
    double idleShare,
    long stalenessMedian,
    long stalenessP99,
    long stalenessMax,
    double droppedShare,
    double meanStepsAhead) {}
