package org.amaranthstream.dispatch;

import org.amaranthstream.admission.Priority;

/** What the order of a queue may look at. */
public interface QueuedRequest {

  /** Returns the priority. */
  Priority priority();

  /** Returns the monotonic time at which the answer is late, in nanoseconds. */
  long deadlineNanos();

  /** Returns the number of the arrival; greater ones came later. */
  long arrival();
}
