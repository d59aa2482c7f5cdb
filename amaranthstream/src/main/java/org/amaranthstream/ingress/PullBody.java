package org.amaranthstream.ingress;

import java.time.Duration;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.rollout.PullRequest;
import org.jspecify.annotations.Nullable;

/** Request body of a trainer's pull. */
record PullBody(@Nullable String token, long pull, long trainerVersion, int max, long waitMs) {

  /** Converts the body to a pull of {@code step}, or to an {@code INVALID_REQUEST} error. */
  Result<PullRequest> toRequest(StepId step) {
    try {
      return Result.success(
          new PullRequest(
              step,
              token == null ? "" : token,
              pull,
              WeightVersion.of(trainerVersion),
              max,
              Duration.ofMillis(waitMs)));
    } catch (IllegalArgumentException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "the body is invalid: " + e.getMessage());
    }
  }
}
