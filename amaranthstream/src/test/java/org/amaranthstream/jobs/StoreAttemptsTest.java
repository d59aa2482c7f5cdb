package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreAttemptsTest {
  private static final ErrorDetail ERROR =
      ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "no answer");

  private final StoreAttempts attempts = new StoreAttempts();

  private static Result<JobAcknowledgement> failure(ResultCode code) {
    return Result.failure(code, "the peer has not accepted the job");
  }

  private void assertIsNotRun(boolean isNotRun) {
    assertThat(attempts.mayTakeEffect()).isEqualTo(!isNotRun);
    ResultCode code =
        attempts.failureCode(
            ResultCode.NOT_RUN_SHUTTING_DOWN, ResultCode.OUTCOME_UNKNOWN_SHUTTING_DOWN);
    assertThat(code.isNotRun()).isEqualTo(isNotRun);
  }

  @Test
  void withoutAnyAttemptTheJobIsNotRun() {
    assertIsNotRun(true);
  }

  @Nested
  class OwnWrite {
    @Test
    void mayTakeEffectWhileItIsOpen() {
      attempts.onWriteStarted();
      assertIsNotRun(false);
    }

    @Test
    void hasNoEffectIfItWasNotDone() {
      attempts.onWriteStarted();
      attempts.onWriteEnded(new TransactionReply.NotDone(ERROR));
      assertIsNotRun(true);
    }

    /** A retry that is not done says nothing about the attempt before it. */
    @Test
    void mayTakeEffectOnceItsOutcomeWasUnknown() {
      attempts.onWriteStarted();
      attempts.onWriteEnded(new TransactionReply.Unknown(ERROR));
      attempts.onWriteStarted();
      attempts.onWriteEnded(new TransactionReply.NotDone(ERROR));
      assertIsNotRun(false);
    }

    @Test
    void hasTakenEffectIfItIsCommitted() {
      attempts.onWriteStarted();
      attempts.onWriteEnded(new TransactionReply.Committed(Revision.of(7)));
      assertIsNotRun(false);
    }
  }

  @Nested
  class Relays {
    @Test
    void mayTakeEffectUntilThePeerAnswers() {
      attempts.onRelayStarted();
      assertIsNotRun(false);
      attempts.onRelayEnded(failure(ResultCode.NOT_RUN_OVERLOADED));
      assertIsNotRun(true);
    }

    @Test
    void haveNoEffectIfThePeerIsNotReached() {
      attempts.onRelayStarted();
      attempts.onRelayEnded(failure(ResultCode.PEER_UNREACHABLE));
      assertIsNotRun(true);
    }

    @Test
    void mayTakeEffectWhatOtherPeersAnswer() {
      attempts.onRelayStarted();
      attempts.onRelayEnded(failure(ResultCode.OUTCOME_UNKNOWN_DEADLINE));
      attempts.onRelayStarted();
      attempts.onRelayEnded(failure(ResultCode.NOT_RUN_OVERLOADED));
      assertIsNotRun(false);
    }
  }
}
