package org.amaranthstream.weights;

import com.google.common.collect.ImmutableMap;

/**
 * State of a zone controller for the state dump.
 *
 * @param pool the pool
 * @param holdsLease true if this entry VM holds the lease and sends the orders
 * @param fencing fencing token of the orders, 0 without the lease
 * @param swapping number of servers with an order in flight
 * @param swapSeconds estimated time of a swap, in seconds
 * @param outcomes number of orders by outcome
 */
public record ZoneControllerDescription(
    String pool,
    boolean holdsLease,
    long fencing,
    int swapping,
    double swapSeconds,
    ImmutableMap<LoadOutcome, Long> outcomes) {}
