package org.amaranthstream.jobs;

import java.util.Set;
import org.amaranthstream.ids.WeightVersion;

/**
 * Rules that a job's route sets for the runs of its items.
 *
 * @param maxFailures the number of failed runs after which an item is given up
 * @param isSingleVersion true if one weight version must generate all of an item's text
 */
record ItemRules(int maxFailures, boolean isSingleVersion) {

  /** Returns true if text of version {@code next} may follow text of {@code versions}. */
  boolean allows(JobSpec job, Set<WeightVersion> versions, WeightVersion next) {
    if (job.minVersion().isAfter(next)) {
      return false;
    }
    return !isSingleVersion || versions.isEmpty() || versions.contains(next);
  }
}
