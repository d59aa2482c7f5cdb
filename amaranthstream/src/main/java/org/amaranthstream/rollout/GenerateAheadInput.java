package org.amaranthstream.rollout;

import org.amaranthstream.config.PriorityTarget;

/**
 * The input of a {@link GenerateAhead} policy.
 *
 * @param stalenessBound greatest number of weight versions that a sample may be behind
 * @param weighsMore the measure that has priority, idle time or staleness
 * @param versionsPerStep number of weight versions that the trainer produces in each step
 * @param generation time to generate a step
 * @param engineTime time that the engines would need to generate a step if they were never idle
 * @param training time from the last page of a step to the first pull of the next
 */
public record GenerateAheadInput(
    int stalenessBound,
    PriorityTarget weighsMore,
    double versionsPerStep,
    DurationEstimate generation,
    DurationEstimate engineTime,
    DurationEstimate training) {}
