package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Optional;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;

/**
 * Text that an owner has received for an item whose result is not listed yet.
 *
 * @param item the item
 * @param text the data of the events received so far; must not be modified
 * @param lastEvent the sequence number of the last of these events
 * @param versions the weight versions that generated the text
 * @param softwareVersion the software version of the servers that generated the text; a text that
 *     is not complete continues at this version only
 * @param isComplete true if the text is complete and the item need not run again
 * @param score the score of a complete text, empty if it has none yet
 */
@SuppressWarnings("ArrayRecordComponent")
record PartialOutput(
    ItemId item,
    byte[] text,
    long lastEvent,
    ImmutableSortedSet<WeightVersion> versions,
    Optional<SoftwareVersion> softwareVersion,
    boolean isComplete,
    Optional<Score> score) {}
