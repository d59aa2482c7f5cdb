package org.amaranthstream.rollout;

/**
 * The decision of a {@link GenerateAhead} policy.
 *
 * @param stepsAhead number of steps to generate ahead, 0 for only the current step
 * @param reason the figures behind the decision
 */
public record GenerateAheadDecision(int stepsAhead, String reason) {}
