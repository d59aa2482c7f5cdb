package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.result.ErrorDetail;

/** The outcome of the write of a takeover. */
sealed interface TakeoverReply {

  /**
   * The job was taken over.
   *
   * @param owner the record of the new owner
   */
  record Taken(StoredOwner owner) implements TakeoverReply {}

  /**
   * The former owner is registered, so that the job stays with it.
   *
   * @param owner the record of the former owner
   */
  record OwnerRegistered(StoredOwner owner) implements TakeoverReply {}

  /**
   * Another daemon has taken the job over, or the job was removed.
   *
   * @param current the ownership record, empty if there is none
   */
  record Lost(ImmutableList<StoredOwner> current) implements TakeoverReply {}

  /**
   * The takeover had no effect and will have none.
   *
   * @param error why the store could not be used
   */
  record NotDone(ErrorDetail error) implements TakeoverReply {}

  /**
   * The takeover may have had an effect, or may have one later.
   *
   * @param error why the outcome is not known
   */
  record Unknown(ErrorDetail error) implements TakeoverReply {}
}
