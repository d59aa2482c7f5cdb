package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.WeightVersion;

/**
 * A trainer's request for samples.
 *
 * @param step the step
 * @param token the token of the last page that the trainer stored, or of the submission
 * @param pull number of the pull, greater than that of any earlier pull of the step
 * @param trainerVersion the trainer's weight version
 * @param max greatest number of samples of the page
 * @param maxWait longest time to wait for the first sample
 */
public record PullRequest(
    StepId step, String token, long pull, WeightVersion trainerVersion, int max, Duration maxWait) {
  /** Greatest allowed {@code maxWait}. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(60);

  /**
   * Creates a request.
   *
   * @throws IllegalArgumentException if a number or {@code maxWait} is out of range
   */
  public PullRequest {
    checkNotNull(step, "step");
    checkNotNull(token, "token");
    checkNotNull(trainerVersion, "trainerVersion");
    checkArgument(pull > 0, "pull is not positive: %s", pull);
    checkArgument(max > 0, "max is not positive: %s", max);
    checkArgument(!maxWait.isNegative(), "maxWait is negative: %s", maxWait);
    checkArgument(
        maxWait.compareTo(MAX_WAIT) <= 0, "maxWait is longer than %s: %s", MAX_WAIT, maxWait);
  }
}
