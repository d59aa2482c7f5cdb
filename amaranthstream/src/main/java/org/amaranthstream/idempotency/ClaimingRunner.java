package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * A runner of work that may run at most once. It claims the idempotency key before it runs the work
 * and returns the cached response if the work has run before. Must be used on the decision thread.
 */
public final class ClaimingRunner {
  private final ClaimService claims;
  private final WorkRunner runner;

  private ClaimingRunner(ClaimService claims, WorkRunner runner) {
    this.claims = claims;
    this.runner = runner;
  }

  /** Returns a runner that passes work to {@code runner} after its key is claimed. */
  public static ClaimingRunner of(ClaimService claims, WorkRunner runner) {
    return new ClaimingRunner(claims, runner);
  }

  /** Runs {@code work} unless a request of this caller and class may have run under {@code key}. */
  public void run(CallerId caller, String key, Work work, WorkListener listener) {
    ClaimRequest request = new ClaimRequest(work.id(), caller, work.workClass(), key);
    claims.claim(request, decision -> onDecision(decision, work, listener));
  }

  private void onDecision(ClaimDecision decision, Work work, WorkListener listener) {
    if (decision instanceof ClaimDecision.Run run) {
      runner.submit(work, new RecordingListener(claims, run.handle(), listener));
    } else if (decision instanceof ClaimDecision.AlreadyRan ran) {
      repeat(ran.response().orElse(previousOutcomeUnknown()), listener);
    } else if (decision instanceof ClaimDecision.DuplicateRunning) {
      listener.onOutcome(
          unknown(ResultCode.DUPLICATE_RUNNING, "a request with the same key is running"));
    } else {
      ClaimDecision.Refused refused = (ClaimDecision.Refused) decision;
      listener.onOutcome(new Outcome.NotRun(refused.error(), refused.retryAfter()));
    }
  }

  private static void repeat(CachedResponse response, WorkListener listener) {
    for (Chunk chunk : response.chunks()) {
      listener.onChunk(chunk);
    }
    listener.onOutcome(response.outcome());
  }

  /** Returns the response for a key whose request may have run and has no cached response. */
  static CachedResponse previousOutcomeUnknown() {
    Outcome outcome =
        unknown(
            ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN,
            "a request with the same key may have run, and its response is no longer available");
    return new CachedResponse(ImmutableList.of(), outcome);
  }

  private static Outcome unknown(ResultCode code, String message) {
    return new Outcome.OutcomeUnknown(ErrorDetail.of(code, message));
  }
}
