package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.result.Result;
import org.amaranthstream.rollout.Page;
import org.amaranthstream.rollout.PullRequest;
import org.amaranthstream.rollout.RolloutService;

/** A handler of pulls: {@code POST /v1/trainers/:trainer/steps/:step/pull}. Thread safe. */
public final class PullHandler implements Handler<RoutingContext> {
  private static final int HTTP_OK = 200;

  private final RolloutService rollout;

  private PullHandler(RolloutService rollout) {
    this.rollout = checkNotNull(rollout, "rollout");
  }

  /** Returns a handler that pulls from {@code rollout}. */
  public static PullHandler of(RolloutService rollout) {
    return new PullHandler(rollout);
  }

  @Override
  public void handle(RoutingContext routing) {
    ResultResponder<Page> responder = ResultResponder.of(routing.response(), HTTP_OK, PageBody::of);
    Result<StepId> step = StepPathParser.parse(routing);
    if (step instanceof Result.Failure<StepId> failure) {
      responder.accept(Result.failure(failure.error()));
      return;
    }
    Result<PullRequest> request = parseBody(routing, ((Result.Success<StepId>) step).value());
    if (request instanceof Result.Success<PullRequest> success) {
      rollout.pull(success.value(), responder);
    } else {
      responder.accept(Result.failure(((Result.Failure<PullRequest>) request).error()));
    }
  }

  private static Result<PullRequest> parseBody(RoutingContext routing, StepId step) {
    return JsonBodies.readBody(routing, PullBody.class).flatMap(body -> body.toRequest(step));
  }
}
