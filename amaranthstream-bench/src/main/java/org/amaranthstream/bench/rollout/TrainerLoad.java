package org.amaranthstream.bench.rollout;

/**
 * A trainer and its engines in the generate-ahead model.
 *
 * @param slots samples that the engines generate at once
 * @param samplesPerStep samples of a step
 * @param sampleSeconds median time to generate a sample
 * @param sampleSpread standard deviation of the logarithm of that time
 * @param trainingSeconds median time to train on a step
 * @param trainingSpread standard deviation of the logarithm of that time
 * @param swapSeconds time from the end of training until the engines have the new version
 * @param stalenessBound greatest staleness of a sample, in versions
 */
record TrainerLoad(
    int slots,
    int samplesPerStep,
    double sampleSeconds,
    double sampleSpread,
    double trainingSeconds,
    double trainingSpread,
    double swapSeconds,
    int stalenessBound) {}
