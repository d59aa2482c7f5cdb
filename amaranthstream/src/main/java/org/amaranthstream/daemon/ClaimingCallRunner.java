package org.amaranthstream.daemon;

import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.idempotency.ClaimService;
import org.amaranthstream.idempotency.ClaimingRunner;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ingress.CallRunner;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** A runner of calls that may run at most once, which claims their idempotency keys. */
final class ClaimingCallRunner implements CallRunner {
  private final ClaimingRunner claimingRunner;

  private ClaimingCallRunner(ClaimingRunner claimingRunner) {
    this.claimingRunner = claimingRunner;
  }

  static ClaimingCallRunner of(ClaimService claims, WorkRunner runner) {
    return new ClaimingCallRunner(ClaimingRunner.of(claims, runner));
  }

  @Override
  public void run(
      CallerId caller, Optional<String> idempotencyKey, Work work, WorkListener listener) {
    if (idempotencyKey.isPresent()) {
      claimingRunner.run(caller, idempotencyKey.get(), work, listener);
      return;
    }
    ErrorDetail error =
        ErrorDetail.of(ResultCode.NOT_RUN_CLAIM_UNAVAILABLE, "the call has no idempotency key");
    listener.onOutcome(new Outcome.NotRun(error, Optional.empty()));
  }
}
