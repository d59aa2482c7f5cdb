package org.amaranthstream.rollout;

/**
 * State of a trainer for the state dump.
 *
 * @param trainer the trainer
 * @param currentStep the step of its newest pull, -1 before the first
 * @param version its own weight version at that pull, -1 before the first
 * @param stepsAhead how many steps ahead of it are generated
 * @param reason the figures that decided the steps ahead
 */
public record TrainerDescription(
    String trainer, long currentStep, long version, int stepsAhead, String reason) {}
