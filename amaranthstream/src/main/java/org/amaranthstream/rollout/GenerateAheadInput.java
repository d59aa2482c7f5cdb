package org.amaranthstream.rollout;

import org.amaranthstream.config.TargetWeight;

/**
 * What the choice of the steps ahead rests on.
 *
 * @param stalenessBound greatest number of versions that a sample may be behind
 * @param weighsMore which measure counts more
 * @param versionsPerStep versions that the trainer makes with each step
 * @param generation time to generate a step
 * @param capacity time that the engines need for the work of a step, were they never idle
 * @param training time from the last page of a step to the first pull of the next
 */
public record GenerateAheadInput(
    int stalenessBound,
    TargetWeight weighsMore,
    double versionsPerStep,
    DurationEstimate generation,
    DurationEstimate capacity,
    DurationEstimate training) {}
