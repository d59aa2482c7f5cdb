package org.amaranthstream.platform;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.ErrorDetail;

/** The outcome of a watch. */
public sealed interface WatchReply {

  /**
   * The store responded; the changes are empty if none occurred within the wait.
   *
   * @param changes the changes, oldest first
   * @param revision the revision to continue from
   * @param isRelayed true if a peer passed on changes that it had already collected, so that a
   *     delay before the next watch saves no call to the store
   */
  record Changes(ImmutableList<KvChange> changes, Revision revision, boolean isRelayed)
      implements WatchReply {

    /** Creates a reply of the store itself. */
    public Changes(ImmutableList<KvChange> changes, Revision revision) {
      this(changes, revision, false);
    }
  }

  /** The store has compacted changes after the given revision; the prefix must be listed again. */
  record HistoryLost() implements WatchReply {}

  /**
   * The connection was lost, or the store is unavailable.
   *
   * @param error why the watch failed
   */
  record Failed(ErrorDetail error) implements WatchReply {}
}
