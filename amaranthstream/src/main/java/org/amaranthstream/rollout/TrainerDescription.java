package org.amaranthstream.rollout;

/**
 * The state of a trainer, for the state dump.
 *
 * @param trainer the trainer
 * @param currentStep the step of the latest pull, -1 before the first pull
 * @param version the trainer's weight version at that pull, -1 before the first pull
 * @param stepsAhead number of steps that are generated ahead
 * @param reason the figures behind the number of steps ahead
 */
public record TrainerDescription(
    String trainer, long currentStep, long version, int stepsAhead, String reason) {}
