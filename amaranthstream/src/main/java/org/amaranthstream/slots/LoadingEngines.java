package org.amaranthstream.slots;

import com.google.common.collect.ImmutableSet;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.servers.TrackedServer;

/** View of the engines that load weights, as far as this daemon knows. */
@FunctionalInterface
public interface LoadingEngines {
  /** Returns the models for which {@code engine} loads weights or is about to. */
  ImmutableSet<ModelId> modelsOf(TrackedServer engine);
}
