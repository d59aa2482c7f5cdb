package org.amaranthstream.platform;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.ErrorDetail;

/** How a watch ended. */
public sealed interface WatchReply {

  /**
   * The store answered; without changes, none came in time.
   *
   * @param changes the changes, oldest first
   * @param revision the revision to continue from
   */
  record Changes(ImmutableList<KvChange> changes, Revision revision) implements WatchReply {}

  /** The store no longer has the changes after the given revision; the prefix is to be listed. */
  record HistoryLost() implements WatchReply {}

  /**
   * The watch was cut or the store is away.
   *
   * @param error what was seen
   */
  record Failed(ErrorDetail error) implements WatchReply {}
}
