package org.amaranthstream.bench.rollout;

/**
 * Parameters of the trainer and the engines in the generate-ahead simulation.
 *
 * @param slots number of samples that the engines generate at once
 * @param samplesPerStep number of samples in a step
 * @param sampleSeconds median time to generate a sample, in seconds
 * @param sampleSpread standard deviation of the natural logarithm of the sample time
 * @param trainingSeconds median time to train on a step, in seconds
 * @param trainingSpread standard deviation of the natural logarithm of the training time
 * @param swapSeconds time from the end of training until the engines have loaded the new version
 * @param stalenessBound maximum staleness of a sample, in versions
 */
record SimulationParameters(
    int slots,
    int samplesPerStep,
    double sampleSeconds,
    double sampleSpread,
    double trainingSeconds,
    double trainingSpread,
    double swapSeconds,
    int stalenessBound) {}
