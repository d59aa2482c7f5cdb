package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;

/**
 * All peer links at one moment, for the state dump.
 *
 * @param outbound links that this process opened
 * @param inbound connections that it accepted
 * @param openQueries own queries that wait for an answer
 * @param openForwards own forwarded requests that wait for their outcome
 * @param waitingBytes bytes that wait on all links
 */
public record PeerSnapshot(
    ImmutableList<LinkView> outbound,
    ImmutableList<InboundView> inbound,
    int openQueries,
    int openForwards,
    long waitingBytes) {}
