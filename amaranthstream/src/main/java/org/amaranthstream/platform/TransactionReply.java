package org.amaranthstream.platform;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.ErrorDetail;

/** The outcome of a transaction. */
public sealed interface TransactionReply {

  /**
   * All changes were applied.
   *
   * @param revision the revision of the changes
   */
  record Committed(Revision revision) implements TransactionReply {}

  /**
   * An expectation did not hold; no change was applied.
   *
   * @param current the current state of the expected entries that exist
   */
  record Conflict(ImmutableList<KvEntry> current) implements TransactionReply {}

  /** A lease of the transaction has ended; no change was applied. */
  record LeaseEnded() implements TransactionReply {}

  /**
   * No change was or will be applied.
   *
   * @param error why the call failed
   */
  record NotDone(ErrorDetail error) implements TransactionReply {}

  /**
   * The changes may have been applied, or may be applied later if the expectations hold then.
   *
   * @param error why the call failed
   */
  record Unknown(ErrorDetail error) implements TransactionReply {}
}
