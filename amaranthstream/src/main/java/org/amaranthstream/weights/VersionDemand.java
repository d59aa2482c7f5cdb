package org.amaranthstream.weights;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * How far behind the newest version the jobs of a model allow their text to be.
 *
 * <p>Learned from the jobs that were accepted: the smallest distance between the newest version and
 * the oldest that a job allows. Not thread safe.
 */
public final class VersionDemand {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Every engine starts with this version, so a job that allows it says nothing. */
  private static final WeightVersion FIRST = WeightVersion.of(1);

  private final NamedVersions named;
  private final Map<ModelId, Long> lags = new HashMap<>();

  private VersionDemand(NamedVersions named) {
    this.named = named;
  }

  /** Returns a demand of which nothing is known. */
  public static VersionDemand create(NamedVersions named) {
    return new VersionDemand(named);
  }

  /** A job was accepted that allows {@code minVersion} and newer. */
  public void onJob(ModelId model, WeightVersion minVersion) {
    WeightVersion newest = named.newest().get(model);
    if (newest == null || !minVersion.isAfter(FIRST)) {
      return;
    }
    long lag = Math.max(0, newest.value() - minVersion.value());
    Long before = lags.get(model);
    if (before == null || lag < before) {
      lags.put(model, lag);
      logger.atInfo().log("event=allowed_lag model=%s versions=%d", model, lag);
    }
  }

  /** Returns the oldest version that the next job may allow, empty while that is not known. */
  public Optional<WeightVersion> oldestUseful(ModelId model, WeightVersion newest) {
    return Optional.ofNullable(lags.get(model))
        .map(lag -> WeightVersion.of(Math.max(0, newest.value() - lag)));
  }
}
