package org.amaranthstream.jobs;

import java.util.Set;
import org.amaranthstream.ids.WeightVersion;

/**
 * What a job's route allows of its items.
 *
 * @param maxFailures the number of failed runs after which an item is given up
 * @param isSingleVersion true if all of an item's text must come from one weight version
 */
record ItemRules(int maxFailures, boolean isSingleVersion) {

  /** Returns true if text of {@code next} may follow text of {@code versions}. */
  boolean allows(JobSpec job, Set<WeightVersion> versions, WeightVersion next) {
    if (job.minVersion().isAfter(next)) {
      return false;
    }
    return !isSingleVersion || versions.isEmpty() || versions.contains(next);
  }
}
