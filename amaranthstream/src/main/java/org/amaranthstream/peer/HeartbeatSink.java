package org.amaranthstream.peer;

import org.amaranthstream.dispatch.PoisonNotice;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/** What peers tell this process besides membership. Called on the decision thread. */
public interface HeartbeatSink {
  /** A peer has the configuration of {@code generation} in force. */
  void onConfigGeneration(EntryVmId from, ConfigGeneration generation);

  /** A peer knows weight {@code version} of {@code model}; the greatest version counts. */
  void onWeightVersion(ModelId model, WeightVersion version);

  /** A peer knows content that was in flight at crashes of backend servers. */
  void onPoison(PoisonNotice notice);
}
