package org.amaranthstream.jobs;

import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * All attempts to store a job, by this daemon and by the peers to which it was relayed.
 *
 * <p>This is the one place that decides whether a submission may be answered with "not run": only
 * if none of its attempts has stored the job, or still may. Not thread safe.
 */
final class StoreAttempts {
  private boolean isWriteOpen;
  private int openRelays;
  private boolean isAnyUnknown;

  /** Records that this daemon begins to write the job. */
  void onWriteStarted() {
    isWriteOpen = true;
  }

  /** Records the outcome of the write of this daemon. */
  void onWriteEnded(TransactionReply reply) {
    isWriteOpen = false;
    isAnyUnknown |= !(reply instanceof TransactionReply.NotDone);
  }

  /** Records that the job is relayed to a peer. */
  void onRelayStarted() {
    openRelays++;
  }

  /** Records the answer of a peer. */
  void onRelayEnded(Result<JobAcknowledgement> answer) {
    openRelays--;
    isAnyUnknown |= !isNotRun(answer);
  }

  /** Returns true if the peer has definitely not accepted the job and will not. */
  private static boolean isNotRun(Result<JobAcknowledgement> answer) {
    if (!(answer instanceof Result.Failure<JobAcknowledgement> failure)) {
      return false;
    }
    ResultCode code = failure.error().code();
    return code == ResultCode.NOT_RUN_OVERLOADED || PeerQueryService.isNotSent(code);
  }

  /** Returns true while this daemon writes the job. */
  boolean isWriteOpen() {
    return isWriteOpen;
  }

  /** Returns true if an attempt has stored the job or still may. */
  boolean mayTakeEffect() {
    return isWriteOpen || openRelays > 0 || isAnyUnknown;
  }

  /** Returns the code of a submission that fails now: {@code notRun} only if that is certain. */
  ResultCode failureCode(ResultCode notRun, ResultCode unknown) {
    return mayTakeEffect() ? unknown : notRun;
  }
}
