package org.amaranthstream.rollout;

/**
 * The response to an accepted submission of a step.
 *
 * @param slots number of samples of the step
 * @param token the token to send with the first pull
 */
public record StepAccepted(int slots, String token) {}
