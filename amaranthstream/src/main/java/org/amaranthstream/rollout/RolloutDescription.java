package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * The state of the steps of an entry VM, for the state dump.
 *
 * @param steps the steps that the entry VM owns
 * @param trainers the trainers of these steps
 * @param heldChars number of characters of the ready samples
 * @param draining true if no further slots are started
 * @param counters counts of events since the start of the process
 */
public record RolloutDescription(
    ImmutableList<StepDescription> steps,
    ImmutableList<TrainerDescription> trainers,
    long heldChars,
    boolean draining,
    ImmutableMap<RolloutEvent, Long> counters) {}
