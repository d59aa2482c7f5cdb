package org.amaranthstream.daemon;

import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ingress.CallRunner;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Runs calls that may run at most once, behind a claim of their idempotency key. */
final class OnceCallRunner implements CallRunner {

  @Override
  public void run(
      CallerId caller, Optional<String> idempotencyKey, Work work, WorkListener listener) {
    ErrorDetail error =
        ErrorDetail.of(ResultCode.NOT_RUN_CLAIM_UNAVAILABLE, "claims are not available");
    listener.onOutcome(new Outcome.NotRun(error, Optional.empty()));
  }
}
