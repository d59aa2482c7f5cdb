package org.amaranthstream.ingress;

import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/** Source of the newest weight version that was announced for a model. Thread safe. */
@FunctionalInterface
public interface VersionSource {

  /** Returns the newest announced version of {@code model}, empty if none is known. */
  Optional<WeightVersion> newest(ModelId model);
}
