package org.amaranthstream.jobs;

/**
 * A run of an item to be started.
 *
 * @param host the host of the job's route
 * @param item the item
 * @param lastEvent the number of the last event that is already known, 0 for a run from the start
 */
public record ItemRequest(String host, ItemSpec item, long lastEvent) {}
