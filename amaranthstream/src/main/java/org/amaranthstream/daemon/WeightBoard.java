package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ingress.VersionSink;
import org.amaranthstream.ingress.VersionSource;
import org.amaranthstream.result.Result;

/** Newest announced weight version of each model; versions never go back. Thread safe. */
final class WeightBoard implements VersionSource, VersionSink {
  private final ConcurrentHashMap<ModelId, WeightVersion> versions = new ConcurrentHashMap<>();

  @Override
  public Optional<WeightVersion> newest(ModelId model) {
    return Optional.ofNullable(versions.get(model));
  }

  @Override
  public void announce(
      ModelId model, WeightVersion version, Consumer<Result<WeightVersion>> consumer) {
    consumer.accept(Result.success(merge(model, version)));
  }

  /** Takes a version that is known elsewhere and returns the newest known after it. */
  WeightVersion merge(ModelId model, WeightVersion version) {
    return versions.merge(model, version, (a, b) -> a.isAfter(b) ? a : b);
  }

  ImmutableMap<ModelId, WeightVersion> all() {
    return ImmutableMap.copyOf(versions);
  }
}
