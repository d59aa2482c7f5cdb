package org.amaranthstream.jobs;

import java.util.Comparator;

/** Scheduling order of jobs: the oldest first, because its results are due first. */
final class JobOrder {
  private JobOrder() {}

  /** Returns the order at {@code nowNanos}. */
  static Comparator<OwnedJob> at(long nowNanos) {
    return Comparator.comparing((OwnedJob job) -> job.age(nowNanos)).reversed();
  }
}
