package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * State of the steps of an entry VM for the state dump.
 *
 * @param steps the steps that it owns
 * @param trainers the trainers of these steps
 * @param heldChars characters of the finished samples that it keeps
 * @param draining true once it starts no slots any more
 * @param counters counts since the start of the process
 */
public record RolloutDescription(
    ImmutableList<StepDescription> steps,
    ImmutableList<TrainerDescription> trainers,
    long heldChars,
    boolean draining,
    ImmutableMap<RolloutEvent, Long> counters) {}
