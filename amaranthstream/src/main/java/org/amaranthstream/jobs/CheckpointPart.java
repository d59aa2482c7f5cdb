package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;

/**
 * A part of the text of an item that is still open, as it is saved.
 *
 * @param item the item
 * @param offset where the part begins, in bytes; what was saved from there on is void
 * @param text the part; callers do not change it
 * @param lastEvent the number of the last event of the part
 * @param versions the weight versions that generated the whole text so far
 */
@SuppressWarnings("ArrayRecordComponent")
record CheckpointPart(
    ItemId item,
    int offset,
    byte[] text,
    long lastEvent,
    ImmutableSortedSet<WeightVersion> versions) {

  /** Returns the length of the text up to the end of the part, in bytes. */
  int end() {
    return offset + text.length;
  }
}
