package org.amaranthstream.ingress;

import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.StepNumber;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** A parser of the step in the path of a trainer's request. */
final class StepPathParser {
  private StepPathParser() {}

  /** Returns the step in the path, or an {@code INVALID_REQUEST} error. */
  static Result<StepId> parse(RoutingContext routing) {
    try {
      TrainerId trainer = TrainerId.of(routing.pathParam("trainer"));
      long number = Long.parseLong(routing.pathParam("step"));
      return Result.success(new StepId(trainer, StepNumber.of(number)));
    } catch (IllegalArgumentException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "the path is invalid: " + e.getMessage());
    }
  }
}
