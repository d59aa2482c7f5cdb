package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;

/**
 * The result of an item; it never changes once it is listed.
 *
 * @param item the item
 * @param isComplete true if the text is whole, false if the item was given up
 * @param text the data of all events in order, separated by line feeds; callers do not change it
 * @param versions the weight versions that generated the text
 */
@SuppressWarnings("ArrayRecordComponent")
public record ItemResult(
    ItemId item, boolean isComplete, byte[] text, ImmutableSortedSet<WeightVersion> versions) {}
