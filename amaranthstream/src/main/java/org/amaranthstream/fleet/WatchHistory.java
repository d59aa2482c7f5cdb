package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Optional;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KvChange;
import org.amaranthstream.platform.WatchReply;

/**
 * Recent changes of one key prefix, as a daemon received them from its own watch of the store.
 *
 * <p>Contains all changes after one revision, up to another. Bounded: the oldest changes are
 * dropped first. Not thread safe.
 */
final class WatchHistory {
  private static final int MAX_BYTES = 1 << 20;

  /** Estimated size of a change without its key and value. */
  private static final int CHANGE_OVERHEAD_BYTES = 64;

  private final ArrayDeque<KvChange> changes = new ArrayDeque<>();
  private boolean isOpen;
  private Revision from = Revision.of(0);
  private Revision to = Revision.of(0);
  private int bytes;

  /** Continues the history at {@code after}, or begins a new one if it does not end there. */
  void continueAt(Revision after) {
    if (!isOpen || !after.equals(to)) {
      close();
      isOpen = true;
      from = after;
      to = after;
    }
  }

  /** Appends the reply to a watch that began at {@code after}. */
  void append(Revision after, WatchReply.Changes reply) {
    continueAt(after);
    to = reply.revision();
    for (KvChange change : reply.changes()) {
      changes.add(change);
      bytes += size(change);
    }
    while (bytes > MAX_BYTES) {
      KvChange dropped = changes.remove();
      bytes -= size(dropped);
      from = dropped.revision();
    }
  }

  private static int size(KvChange change) {
    int value = change instanceof KvChange.Put put ? put.entry().value().length : 0;
    return CHANGE_OVERHEAD_BYTES + change.key().length() + value;
  }

  /** Discards the history, because the daemon does not watch the prefix any more. */
  void close() {
    isOpen = false;
    changes.clear();
    bytes = 0;
  }

  /** Returns the changes after {@code after}, empty if the history does not reach back that far. */
  Optional<WatchReply.Changes> since(Revision after) {
    if (!isOpen || from.isAfter(after)) {
      return Optional.empty();
    }
    ImmutableList<KvChange> newer =
        changes.stream()
            .filter(change -> change.revision().isAfter(after))
            .collect(ImmutableList.toImmutableList());
    return Optional.of(new WatchReply.Changes(newer, to.isAfter(after) ? to : after, true));
  }
}
