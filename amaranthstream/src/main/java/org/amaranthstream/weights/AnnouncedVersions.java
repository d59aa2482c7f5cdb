package org.amaranthstream.weights;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Table of the newest weight version that trainers have announced for each model. Not thread safe.
 */
public final class AnnouncedVersions {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<ModelId, WeightVersion> versions = new HashMap<>();

  private AnnouncedVersions() {}

  /** Returns an empty table. */
  public static AnnouncedVersions create() {
    return new AnnouncedVersions();
  }

  /**
   * Records {@code version} unless the table holds the same or a newer one.
   *
   * @return true if the version was recorded
   */
  public boolean recordIfNewer(ModelId model, WeightVersion version) {
    WeightVersion before = versions.get(model);
    if (before != null && !version.isAfter(before)) {
      return false;
    }
    versions.put(model, version);
    logger.atInfo().log("event=version_named model=%s version=%s", model, version);
    return true;
  }

  /** Returns the newest announced version of each model. */
  public ImmutableMap<ModelId, WeightVersion> newest() {
    return ImmutableMap.copyOf(versions);
  }
}
