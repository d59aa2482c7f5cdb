package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.quarantine.PoisonNotice;

/** Source of the heartbeat content besides membership. Called on the decision thread. */
public interface HeartbeatSource {
  /** Returns the generation of the active configuration. */
  ConfigGeneration configGeneration();

  /** Returns the newest weight version of each model that this daemon has received. */
  ImmutableMap<ModelId, WeightVersion> weightVersions();

  /** Returns notices about content that was in flight when backend servers crashed. */
  ImmutableList<PoisonNotice> poisonNotices();

  /** Returns the number of requests that wait in this process, by pool. */
  ImmutableMap<PoolId, Integer> waitingRequests();
}
