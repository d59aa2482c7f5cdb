package org.amaranthstream.rollout;

/**
 * How many steps ahead of a trainer to generate.
 *
 * @param stepsAhead the number of steps, 0 for only the current one
 * @param reason the figures that decided, as a sentence
 */
public record GenerateAheadDecision(int stepsAhead, String reason) {}
