package org.amaranthstream.platform;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.ErrorDetail;

/** How a transaction ended. */
public sealed interface TransactionReply {

  /**
   * All changes were applied.
   *
   * @param revision the revision of the changes
   */
  record Committed(Revision revision) implements TransactionReply {}

  /**
   * An expectation did not hold; nothing was changed.
   *
   * @param current the expected entries that exist, as they are now
   */
  record Conflict(ImmutableList<KvEntry> current) implements TransactionReply {}

  /** A lease that the transaction names has ended; nothing was changed. */
  record LeaseEnded() implements TransactionReply {}

  /**
   * Nothing was changed, nor will be.
   *
   * @param error what was seen
   */
  record NotDone(ErrorDetail error) implements TransactionReply {}

  /**
   * The changes may have been applied, or may be later if the expectations hold then.
   *
   * @param error what was seen
   */
  record Unknown(ErrorDetail error) implements TransactionReply {}
}
