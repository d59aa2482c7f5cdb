package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.result.Result;
import org.amaranthstream.rollout.RolloutService;
import org.amaranthstream.rollout.StepAccepted;
import org.amaranthstream.rollout.StepSpec;

/** A handler of training steps: {@code PUT /v1/trainers/:trainer/steps/:step}. Thread safe. */
public final class StepHandler implements Handler<RoutingContext> {
  private static final int HTTP_ACCEPTED = 202;

  private final RolloutService rollout;

  private StepHandler(RolloutService rollout) {
    this.rollout = checkNotNull(rollout, "rollout");
  }

  /** Returns a handler that submits to {@code rollout}. */
  public static StepHandler of(RolloutService rollout) {
    return new StepHandler(rollout);
  }

  @Override
  public void handle(RoutingContext routing) {
    ResultResponder<StepAccepted> responder =
        ResultResponder.of(routing.response(), HTTP_ACCEPTED, StepAcceptedBody::of);
    Result<StepId> step = StepPathParser.parse(routing);
    if (step instanceof Result.Failure<StepId> failure) {
      responder.accept(Result.failure(failure.error()));
      return;
    }
    Result<StepSpec> spec = parseBody(routing);
    if (spec instanceof Result.Success<StepSpec> success) {
      rollout.submit(((Result.Success<StepId>) step).value(), success.value(), responder);
    } else {
      responder.accept(Result.failure(((Result.Failure<StepSpec>) spec).error()));
    }
  }

  private static Result<StepSpec> parseBody(RoutingContext routing) {
    return JsonBodies.readBody(routing, StepBody.class).flatMap(StepBody::toSpec);
  }
}
