package org.amaranthstream.weights;

import com.google.common.collect.ImmutableMap;

/**
 * State of a zone controller for the state dump.
 *
 * @param pool the pool
 * @param holdsLease true if this entry VM gives the orders
 * @param fencing fencing number of the orders, 0 without the lease
 * @param swapping servers with an order in flight
 * @param swapSeconds time that a swap takes
 * @param outcomes how orders ended
 */
public record ZoneControllerDescription(
    String pool,
    boolean holdsLease,
    long fencing,
    int swapping,
    double swapSeconds,
    ImmutableMap<LoadOutcome, Long> outcomes) {}
