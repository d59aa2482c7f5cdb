package org.amaranthstream.dispatch;

import org.amaranthstream.admission.Priority;

/** A waiting request as seen by a {@link QueueOrder}. */
public interface QueuedRequest {

  /** Returns the priority. */
  Priority priority();

  /** Returns the deadline on the monotonic clock, in nanoseconds. */
  long deadlineNanos();

  /** Returns the sequence number of the arrival; later arrivals have greater numbers. */
  long arrival();
}
