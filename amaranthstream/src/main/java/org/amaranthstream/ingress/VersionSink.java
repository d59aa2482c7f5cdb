package org.amaranthstream.ingress;

import java.util.function.Consumer;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;

/** Receiver of the weight versions that trainers announce. Thread safe. */
@FunctionalInterface
public interface VersionSink {

  /** Takes a version; the consumer is given the newest version known after it, exactly once. */
  void announce(ModelId model, WeightVersion version, Consumer<Result<WeightVersion>> consumer);
}
