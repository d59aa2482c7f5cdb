package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.TreeSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.SoftwareVersion;
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
  private Optional<SoftwareVersion> softwareVersion = Optional.empty();
  private long lastEvent;
  private boolean isComplete;
  private int savedBytes;
  private boolean isCompletionSaved;
  private int pendingBytes;
  private boolean isCompletionPending;

  /**
   * Appends an event that {@code version} generated at a server with {@code software}.
   *
   * @return false if the event does not directly follow the last one; it is not appended
   */
  boolean add(ItemEvent event, Optional<WeightVersion> version, SoftwareVersion software) {
    if (event.id() != lastEvent + 1) {
      return false;
    }
    softwareVersion = Optional.of(software);
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

  /** Records that no event follows. */
  void markComplete() {
    isComplete = true;
  }

  /** Discards the text, so that the next run starts at the first event. */
  void clear() {
    text.reset();
    versions.clear();
    softwareVersion = Optional.empty();
    lastEvent = 0;
    isComplete = false;
    savedBytes = 0;
    isCompletionSaved = false;
    pendingBytes = 0;
    isCompletionPending = false;
  }

  /** Returns the part of the text that is not saved yet, empty if all of it is saved. */
  Optional<CheckpointPart> takeUnsaved(ItemId item) {
    if (text.size() == savedBytes && isComplete == isCompletionSaved) {
      return Optional.empty();
    }
    byte[] part = Arrays.copyOfRange(text.toByteArray(), savedBytes, text.size());
    pendingBytes = text.size();
    isCompletionPending = isComplete;
    return Optional.of(
        new CheckpointPart(
            item, savedBytes, part, lastEvent, versions(), softwareVersion, isComplete));
  }

  /**
   * Records that the part returned last by {@link #takeUnsaved} is saved. Has no effect if the text
   * was discarded in between.
   */
  void markSaved() {
    savedBytes = pendingBytes;
    isCompletionSaved = isCompletionPending;
  }

  /** Replaces the text with the partial output of another owner. */
  void restore(PartialOutput partial) {
    clear();
    text.writeBytes(partial.text());
    versions.addAll(partial.versions());
    softwareVersion = partial.softwareVersion();
    lastEvent = partial.lastEvent();
    isComplete = partial.isComplete();
  }

  ImmutableSortedSet<WeightVersion> versions() {
    return ImmutableSortedSet.copyOfSorted(versions);
  }

  /** Returns the software version of the servers that generated the text, empty without a text. */
  Optional<SoftwareVersion> softwareVersion() {
    return softwareVersion;
  }

  /** Returns true if a server with {@code software} can generate the next event. */
  boolean canContinueAt(SoftwareVersion software) {
    return lastEvent == 0 || softwareVersion.equals(Optional.of(software));
  }

  byte[] bytes() {
    return text.toByteArray();
  }
}
