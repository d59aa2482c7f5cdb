package org.amaranthstream.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * Admission policy that rejects a request immediately if its estimated wait and service time exceed
 * the time to its deadline.
 *
 * <p>An unknown service time counts as 0, so no request is rejected for its deadline before the
 * first responses. Immutable and thread safe.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);
  private static final Duration NO_SERVER_RETRY_AFTER = Duration.ofSeconds(1);
  private static final double NANOS_PER_MILLI = 1e6;

  private final double margin;

  private DeadlineAdmission(double margin) {
    this.margin = margin;
  }

  /** Returns a policy that uses the estimate unchanged. */
  public static DeadlineAdmission create() {
    return new DeadlineAdmission(1.0);
  }

  /**
   * Returns a policy that multiplies the estimate by a factor.
   *
   * @param margin factor of the estimate; a value above 1 rejects more requests
   */
  public static DeadlineAdmission withMargin(double margin) {
    checkArgument(margin > 0, "margin is not positive: %s", margin);
    return new DeadlineAdmission(margin);
  }

  @Override
  public AdmissionDecision decide(AdmissionInput input) {
    if (input.slots() == 0) {
      return reject(
          ResultCode.NOT_RUN_NO_BACKEND,
          "no backend server of the pool takes new work",
          NO_SERVER_RETRY_AFTER);
    }
    if (input.queued() >= input.queueCapacity()) {
      return reject(
          ResultCode.NOT_RUN_QUEUE_FULL,
          String.format("%d of %d queue places are taken", input.queued(), input.queueCapacity()),
          retryAfter(input.waitNanos()));
    }
    return decideByEstimate(input);
  }

  private AdmissionDecision decideByEstimate(AdmissionInput input) {
    long wait = (long) (input.waitNanos() * margin);
    long service = (long) (input.serviceNanos() * margin);
    if (service > input.slackNanos()) {
      return reject(
          ResultCode.NOT_RUN_DEADLINE,
          String.format(
              "service takes %.0f ms and the deadline is in %.0f ms",
              millis(service), millis(input.slackNanos())),
          retryAfter(wait));
    }
    if (wait + service > input.slackNanos()) {
      return reject(
          ResultCode.NOT_RUN_OVERLOADED,
          String.format(
              "wait %.0f ms (%d ahead on %d slots) and service %.0f ms exceed the %.0f ms left",
              millis(wait),
              input.queuedAhead(),
              input.slots(),
              millis(service),
              millis(input.slackNanos())),
          retryAfter(wait + service - input.slackNanos()));
    }
    return new AdmissionDecision.Admit(wait + service);
  }

  private static AdmissionDecision reject(ResultCode code, String message, Duration retryAfter) {
    return new AdmissionDecision.Refuse(ErrorDetail.of(code, message), retryAfter);
  }

  private static Duration retryAfter(long nanos) {
    Duration wanted = Duration.ofNanos(nanos);
    return wanted.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wanted;
  }

  private static double millis(long nanos) {
    return nanos / NANOS_PER_MILLI;
  }
}
