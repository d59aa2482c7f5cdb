package org.amaranthstream.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Input of an admission decision.
 *
 * @param priority the request's priority
 * @param slackNanos time until the request's deadline, in nanoseconds
 * @param slots number of requests that the reachable servers of the pool can run at once
 * @param running number of running requests
 * @param queuedAhead number of queued requests that would run before this one
 * @param queueCapacity maximum number of queued requests
 * @param queued number of queued requests of all priorities
 * @param serviceNanos estimated service time of this request, in nanoseconds; 0 if unknown
 * @param slotNanos estimated time that a request of the pool occupies a slot, in nanoseconds; 0 if
 *     unknown
 */
public record AdmissionInput(
    Priority priority,
    long slackNanos,
    int slots,
    int running,
    int queuedAhead,
    int queueCapacity,
    int queued,
    long serviceNanos,
    long slotNanos) {

  /**
   * Creates an input.
   *
   * @throws IllegalArgumentException if a count or an estimate is negative
   */
  public AdmissionInput {
    checkArgument(slots >= 0, "slots is negative: %s", slots);
    checkArgument(running >= 0, "running is negative: %s", running);
    checkArgument(queuedAhead >= 0, "queuedAhead is negative: %s", queuedAhead);
    checkArgument(queued >= 0, "queued is negative: %s", queued);
    checkArgument(serviceNanos >= 0, "serviceNanos is negative: %s", serviceNanos);
    checkArgument(slotNanos >= 0, "slotNanos is negative: %s", slotNanos);
  }

  /** Returns the estimated time until a slot is free for this request, in nanoseconds. */
  public long waitNanos() {
    int before = running + queuedAhead - slots + 1;
    if (before <= 0 || slots == 0) {
      return 0;
    }
    return (long) ((double) before * slotNanos / slots);
  }
}
