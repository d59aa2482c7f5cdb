package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.TreeSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Text that an item has generated so far, with the weight versions that generated it.
 *
 * <p>Not thread safe.
 */
final class ItemText {
  private static final byte SEPARATOR = '\n';

  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private final TreeSet<WeightVersion> versions = new TreeSet<>();
  private long lastEvent;
  private int savedBytes;
  private int pendingBytes;

  /**
   * Appends an event that {@code version} generated.
   *
   * @return false if the event does not directly follow the last one; it is not appended
   */
  boolean add(ItemEvent event, Optional<WeightVersion> version) {
    if (event.id() != lastEvent + 1) {
      return false;
    }
    if (lastEvent > 0) {
      text.write(SEPARATOR);
    }
    text.writeBytes(event.data());
    lastEvent = event.id();
    version.ifPresent(versions::add);
    return true;
  }

  long lastEvent() {
    return lastEvent;
  }

  /** Discards the text, so that the next run starts at the first event. */
  void clear() {
    text.reset();
    versions.clear();
    lastEvent = 0;
    savedBytes = 0;
    pendingBytes = 0;
  }

  /** Returns the part of the text that is not saved yet, empty if all of it is saved. */
  Optional<CheckpointPart> takeUnsaved(ItemId item) {
    if (text.size() == savedBytes) {
      return Optional.empty();
    }
    byte[] part = Arrays.copyOfRange(text.toByteArray(), savedBytes, text.size());
    pendingBytes = text.size();
    return Optional.of(new CheckpointPart(item, savedBytes, part, lastEvent, versions()));
  }

  /**
   * Records that the part returned last by {@link #takeUnsaved} is saved. Has no effect if the text
   * was discarded in between.
   */
  void markSaved() {
    savedBytes = pendingBytes;
  }

  /** Replaces the text with the partial output of another owner. */
  void restore(PartialOutput partial) {
    clear();
    text.writeBytes(partial.text());
    versions.addAll(partial.versions());
    lastEvent = partial.lastEvent();
  }

  ImmutableSortedSet<WeightVersion> versions() {
    return ImmutableSortedSet.copyOfSorted(versions);
  }

  byte[] bytes() {
    return text.toByteArray();
  }
}
