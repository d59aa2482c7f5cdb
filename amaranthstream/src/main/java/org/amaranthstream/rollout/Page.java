package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;

/**
 * The response to a pull.
 *
 * @param pull number of the pull
 * @param token the token that the trainer sends with its next pull once it has stored the samples
 * @param samples samples whose slots the pull's token does not contain
 * @param remaining number of slots that remain undelivered once this page is stored
 * @param done true if no slots remain
 */
public record Page(
    long pull, String token, ImmutableList<Sample> samples, int remaining, boolean done) {}
