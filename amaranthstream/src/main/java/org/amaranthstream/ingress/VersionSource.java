package org.amaranthstream.ingress;

import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/** A source of the newest announced weight version of a model. Thread safe. */
@FunctionalInterface
public interface VersionSource {

  /** Returns the newest announced version of {@code model}, empty if there is none. */
  Optional<WeightVersion> newest(ModelId model);
}
