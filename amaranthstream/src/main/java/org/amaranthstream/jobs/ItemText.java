package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.TreeSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;

/**
 * The text of an item so far, and the weight versions that generated it.
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

  /** Adds an event that was generated under {@code version}; returns false if one is missing. */
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

  /** Forgets everything, so that the next run starts anew. */
  void clear() {
    text.reset();
    versions.clear();
    lastEvent = 0;
    savedBytes = 0;
    pendingBytes = 0;
  }

  /** Returns the part of {@code item}'s text that is not saved yet, to save it; empty if all is. */
  Optional<CheckpointPart> takeUnsaved(ItemId item) {
    if (text.size() == savedBytes) {
      return Optional.empty();
    }
    byte[] part = Arrays.copyOfRange(text.toByteArray(), savedBytes, text.size());
    pendingBytes = text.size();
    return Optional.of(new CheckpointPart(item, savedBytes, part, lastEvent, versions()));
  }

  /** The part taken last was saved. Nothing is, if the text was begun anew since. */
  void markSaved() {
    savedBytes = pendingBytes;
  }

  /** Goes on from what another owner had. */
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
