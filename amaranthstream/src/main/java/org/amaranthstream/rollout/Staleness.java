package org.amaranthstream.rollout;

import org.amaranthstream.ids.WeightVersion;

/** Staleness of samples in weight versions. */
final class Staleness {
  private Staleness() {}

  /** Returns how many versions {@code version} is behind {@code trainerVersion}. */
  static long of(WeightVersion version, WeightVersion trainerVersion) {
    return trainerVersion.value() - version.value();
  }

  static boolean isTooOld(WeightVersion version, WeightVersion trainerVersion, int bound) {
    return of(version, trainerVersion) > bound;
  }

  /** Returns the oldest version that {@code trainerVersion} may still use. */
  static WeightVersion oldestAllowed(WeightVersion trainerVersion, int bound) {
    return WeightVersion.of(Math.max(0, trainerVersion.value() - bound));
  }
}
