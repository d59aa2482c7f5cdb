package org.amaranthstream.daemon;

import java.util.function.Consumer;
import org.amaranthstream.idempotency.ClaimService;
import org.amaranthstream.ingress.IdempotencyKeyIssuer;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;

/** An issuer that gets its keys from the claim service, on the decision thread. Thread safe. */
final class ClaimKeyIssuer implements IdempotencyKeyIssuer {
  private final ClaimService claims;
  private final Duty decisions;

  ClaimKeyIssuer(ClaimService claims, Duty decisions) {
    this.claims = claims;
    this.decisions = decisions;
  }

  @Override
  public void issue(Consumer<Result<String>> consumer) {
    Runnable task = () -> consumer.accept(Result.success(claims.issueKey().text()));
    if (!decisions.offer(task)) {
      consumer.accept(
          Result.failure(
              ResultCode.NOT_RUN_QUEUE_FULL, "the decision thread's task queue is full"));
    }
  }
}
