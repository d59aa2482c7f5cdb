package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;

/**
 * Answer to a pull.
 *
 * @param pull number of the pull that it answers
 * @param token the token to return once the trainer has kept the samples
 * @param samples samples whose slots the pull's token does not have
 * @param remaining number of slots that are not delivered with this page kept
 * @param done true if no slot remains
 */
public record Page(
    long pull, String token, ImmutableList<Sample> samples, int remaining, boolean done) {}
