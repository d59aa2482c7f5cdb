package org.amaranthstream.rollout;

import org.amaranthstream.ids.WeightVersion;

/** Computations of the staleness of samples, in weight versions. */
final class Staleness {
  private Staleness() {}

  /** Returns how many versions {@code version} is behind {@code trainerVersion}. */
  static long of(WeightVersion version, WeightVersion trainerVersion) {
    return trainerVersion.value() - version.value();
  }

  /** Returns true if {@code version} is more than {@code bound} versions behind. */
  static boolean isTooOld(WeightVersion version, WeightVersion trainerVersion, int bound) {
    return of(version, trainerVersion) > bound;
  }

  /** Returns the oldest version whose samples a trainer at {@code trainerVersion} may use. */
  static WeightVersion oldestAllowed(WeightVersion trainerVersion, int bound) {
    return WeightVersion.of(Math.max(0, trainerVersion.value() - bound));
  }
}
