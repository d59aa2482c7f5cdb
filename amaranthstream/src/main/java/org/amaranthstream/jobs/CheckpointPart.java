package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Optional;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;

/**
 * Part of the text of an open item, as it is saved to the store.
 *
 * @param item the item
 * @param offset the position of the part in the text, in bytes; the part replaces all text that was
 *     saved from this position on
 * @param text the text of the part; must not be modified
 * @param lastEvent the sequence number of the last event of the part
 * @param versions the weight versions that generated the text up to the end of the part
 * @param softwareVersion the software version of the servers that generated the text
 * @param isComplete true if the text is complete at the end of the part
 */
@SuppressWarnings("ArrayRecordComponent")
record CheckpointPart(
    ItemId item,
    int offset,
    byte[] text,
    long lastEvent,
    ImmutableSortedSet<WeightVersion> versions,
    Optional<SoftwareVersion> softwareVersion,
    boolean isComplete) {

  /** Returns the position of the end of the part in the text, in bytes. */
  int end() {
    return offset + text.length;
  }
}
