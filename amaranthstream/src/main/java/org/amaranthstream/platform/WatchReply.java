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
   */
  record Changes(ImmutableList<KvChange> changes, Revision revision) implements WatchReply {}

  /** The store has compacted changes after the given revision; the prefix must be listed again. */
  record HistoryLost() implements WatchReply {}

  /**
   * The connection was lost, or the store is unavailable.
   *
   * @param error why the watch failed
   */
  record Failed(ErrorDetail error) implements WatchReply {}
}
