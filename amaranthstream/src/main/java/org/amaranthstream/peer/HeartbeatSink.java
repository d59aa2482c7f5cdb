package org.amaranthstream.peer;

import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.LeavingServer;
import org.amaranthstream.quarantine.PoisonNotice;

/** Receiver of the heartbeat content besides membership. Called on the decision thread. */
public interface HeartbeatSink {
  /** Handles the generation of the active configuration of a peer. */
  void onConfigGeneration(EntryVmId from, ConfigGeneration generation);

  /**
   * Handles the newest weight version of {@code model} that a peer has received. Of several
   * versions the greatest applies.
   */
  void onWeightVersion(ModelId model, WeightVersion version);

  /** Handles an incarnation of a backend server that is leaving according to a peer. */
  default void onLeavingServer(LeavingServer leaving) {}

  /** Handles a peer's notice about content that was in flight when backend servers crashed. */
  void onPoisonNotice(PoisonNotice notice);
}
