package org.amaranthstream.jobs;

import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/**
 * A whole event of an item's stream.
 *
 * @param id the number of the event within the item, from 1
 * @param data its data; callers do not change it
 * @param newVersion the weight version from this event on, if it changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record ItemEvent(long id, byte[] data, Optional<WeightVersion> newVersion) {}
