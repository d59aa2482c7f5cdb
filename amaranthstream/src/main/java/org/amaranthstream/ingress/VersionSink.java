package org.amaranthstream.ingress;

import java.util.function.Consumer;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;

/** A receiver of the weight versions that trainers announce. Thread safe. */
@FunctionalInterface
public interface VersionSink {

  /** Announces a version and calls {@code consumer} once with the newest announced version. */
  void announce(ModelId model, WeightVersion version, Consumer<Result<WeightVersion>> consumer);
}
