package org.amaranthstream.rollout;

/**
 * Answer to the submission of a step.
 *
 * @param slots number of samples of the step
 * @param token the token of the first pull
 */
public record StepAccepted(int slots, String token) {}
