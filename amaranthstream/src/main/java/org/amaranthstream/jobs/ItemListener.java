package org.amaranthstream.jobs;

import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/** Listener for one run of an item. No method is called after {@link #onEnded}. */
public interface ItemListener {

  /** Called when the response starts, with the weight version if the server reported one. */
  void onStarted(Optional<WeightVersion> version);

  /** Called for each complete event. */
  void onEvent(ItemEvent event);

  /** Called once, when the run ends. */
  void onEnded(ItemRunOutcome outcome);
}
