package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSortedSet;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.TreeSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.memory.Reservation;

/**
 * Text that an item has generated so far, with the weight versions that generated it.
 *
 * <p>Not thread safe.
 */
final class ItemText {
  private static final byte SEPARATOR = '\n';

  /** A longer text could not be returned, as a response to a caller has at most 1 MB. */
  static final int MAX_BYTES = JobService.MAX_READ_BYTES;

  private final Reservation memory;
  private ByteArrayOutputStream text = new ByteArrayOutputStream();
  private final TreeSet<WeightVersion> versions = new TreeSet<>();
  private Optional<SoftwareVersion> softwareVersion = Optional.empty();
  private long lastEvent;
  private boolean isComplete;
  private int savedBytes;
  private boolean isCompletionSaved;
  private int pendingBytes;
  private boolean isCompletionPending;

  /** Outcome of the attempt to append an event. */
  enum Added {
    YES,
    /** The event does not directly follow the last one. */
    OUT_OF_ORDER,
    /** The text would exceed {@link #MAX_BYTES}. */
    TOO_LONG,
    /** There is no memory for the event. */
    NO_MEMORY
  }

  /**
   * Creates an empty text.
   *
   * @param memory the memory of the job, which the text is added to
   */
  ItemText(Reservation memory) {
    this.memory = memory;
  }

  /** Appends an event that {@code version} generated at a server with {@code software}. */
  Added add(ItemEvent event, Optional<WeightVersion> version, SoftwareVersion software) {
    int bytes = event.data().length + (lastEvent > 0 ? 1 : 0);
    if (event.id() != lastEvent + 1) {
      return Added.OUT_OF_ORDER;
    }
    if (text.size() + bytes > MAX_BYTES) {
      return Added.TOO_LONG;
    }
    if (!memory.tryGrow(bytes)) {
      return Added.NO_MEMORY;
    }
    boolean wasDiscarded = event.id() != lastEvent + 1;
    if (wasDiscarded) {
      memory.shrink(bytes);
      return Added.OUT_OF_ORDER;
    }
    append(event, version, software);
    return Added.YES;
  }

  private void append(ItemEvent event, Optional<WeightVersion> version, SoftwareVersion software) {
    softwareVersion = Optional.of(software);
    if (lastEvent > 0) {
      text.write(SEPARATOR);
    }
    text.writeBytes(event.data());
    lastEvent = event.id();
    version.ifPresent(versions::add);
  }

  /** Returns the length of the text in bytes. */
  int size() {
    return text.size();
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
    int bytes = text.size();
    text = new ByteArrayOutputStream();
    memory.shrink(bytes);
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
    memory.forceGrow(partial.text().length);
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
