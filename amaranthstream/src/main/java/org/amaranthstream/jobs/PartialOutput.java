package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;

/**
 * The text that an owner has of an item that is not listed yet.
 *
 * @param item the item
 * @param text the data of the events so far; callers do not change it
 * @param lastEvent the number of the last of them
 * @param versions the weight versions that generated them
 * @param isComplete true if the text is whole
 */
@SuppressWarnings("ArrayRecordComponent")
record PartialOutput(
    ItemId item,
    byte[] text,
    long lastEvent,
    ImmutableSortedSet<WeightVersion> versions,
    boolean isComplete) {}
