package org.amaranthstream.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What an admission decision rests on.
 *
 * @param priority the request's priority
 * @param slackNanos time until the request's deadline, in nanoseconds
 * @param slots requests that the reachable servers of the pool can run at once
 * @param running requests that run
 * @param queuedAhead requests that wait and would go before this one
 * @param queueCapacity requests that may wait
 * @param queued requests that wait, of both priorities
 * @param serviceNanos estimate of the time that this request takes on a server, in nanoseconds; 0
 *     if none is known yet
 * @param slotNanos estimate of the time that one request of the pool holds a slot, in nanoseconds;
 *     0 if none is known yet
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
