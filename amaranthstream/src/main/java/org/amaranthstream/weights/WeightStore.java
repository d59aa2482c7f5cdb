package org.amaranthstream.weights;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;

/** Weight store of the platform. Thread safe; futures never complete exceptionally. */
@FunctionalInterface
public interface WeightStore {

  /** Reads the newest published version of {@code model}; empty if there is none. */
  CompletableFuture<Result<Optional<WeightVersion>>> latest(ModelId model);
}
