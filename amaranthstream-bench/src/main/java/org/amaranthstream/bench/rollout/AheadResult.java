package org.amaranthstream.bench.rollout;

/**
 * What one run of the generate-ahead model gave.
 *
 * @param idleShare share of the time that the trainer waited
 * @param stalenessMedian median staleness of the delivered samples, in versions
 * @param stalenessP99 99th percentile of the staleness
 * @param stalenessMax greatest staleness
 * @param droppedShare samples dropped as too old, as a share of the delivered ones
 * @param meanStepsAhead mean of the chosen steps ahead
 */
record AheadResult(
    double idleShare,
    long stalenessMedian,
    long stalenessP99,
    long stalenessMax,
    double droppedShare,
    double meanStepsAhead) {}
