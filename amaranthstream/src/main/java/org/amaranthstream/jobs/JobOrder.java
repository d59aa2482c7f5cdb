package org.amaranthstream.jobs;

import java.util.Comparator;

/** Orders jobs by the time at which their results are due: the oldest first. */
final class JobOrder {
  private JobOrder() {}

  /** Returns the order at a moment. */
  static Comparator<OwnedJob> at(long nowNanos) {
    return Comparator.comparing((OwnedJob job) -> job.age(nowNanos)).reversed();
  }
}
