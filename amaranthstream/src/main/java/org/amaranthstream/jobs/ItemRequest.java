package org.amaranthstream.jobs;

/**
 * Request to run an item at a server.
 *
 * @param host the host name that the job's route matches
 * @param item the item to run
 * @param lastEvent the sequence number of the last event already received, 0 to start at the
 *     beginning
 */
public record ItemRequest(String host, ItemSpec item, long lastEvent) {}
