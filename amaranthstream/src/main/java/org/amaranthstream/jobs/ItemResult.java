package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Optional;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Result of an item. It never changes once it is listed.
 *
 * @param item the item
 * @param isComplete true if the text is complete, false if the item was given up
 * @param text the data of all events in order, separated by line feeds; must not be modified
 * @param versions the weight versions that generated the text
 * @param score the score of the text, empty if the item needs none or was given up
 */
@SuppressWarnings("ArrayRecordComponent")
public record ItemResult(
    ItemId item,
    boolean isComplete,
    byte[] text,
    ImmutableSortedSet<WeightVersion> versions,
    Optional<Score> score) {}
