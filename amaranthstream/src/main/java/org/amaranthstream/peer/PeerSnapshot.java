package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;

/**
 * Snapshot of all peer links, for the state dump.
 *
 * @param outbound links that this process opened
 * @param inbound connections that this process accepted
 * @param openQueries number of queries of this process that wait for a response
 * @param openForwards number of requests forwarded by this process that wait for their outcome
 * @param waitingBytes number of bytes that wait to be written on all connections
 */
public record PeerSnapshot(
    ImmutableList<LinkView> outbound,
    ImmutableList<InboundView> inbound,
    int openQueries,
    int openForwards,
    long waitingBytes) {}
