package org.amaranthstream.slots;

/**
 * Lease of slots of one server. An owner may start a request while it has fewer in flight.
 *
 * @param server the server
 * @param slots the number of slots; may be smaller than the number of requests in flight
 */
public record SlotLease(ServerKey server, int slots) {}
