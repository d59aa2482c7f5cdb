package org.amaranthstream.jobs;

import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/**
 * A complete event of an item's stream.
 *
 * @param id the sequence number of the event within the item, starting at 1
 * @param data the data of the event; must not be modified
 * @param newVersion the weight version that generated this event and those after it, present if it
 *     changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record ItemEvent(long id, byte[] data, Optional<WeightVersion> newVersion) {}
