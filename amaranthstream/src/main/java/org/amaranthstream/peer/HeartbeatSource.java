package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.amaranthstream.dispatch.PoisonNotice;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WeightVersion;

/** What this process tells its peers besides membership. Called on the decision thread. */
public interface HeartbeatSource {
  /** Returns the generation of the configuration in force. */
  ConfigGeneration configGeneration();

  /** Returns the newest known weight version of each model. */
  ImmutableMap<ModelId, WeightVersion> weightVersions();

  /** Returns the content that was in flight at crashes of backend servers. */
  ImmutableList<PoisonNotice> poison();

  /** Returns the number of requests that wait here, by pool. */
  ImmutableMap<PoolId, Integer> waiting();
}
