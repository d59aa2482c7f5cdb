package org.amaranthstream.jobs;

import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/** Hears of one run of an item; nothing follows {@link #onEnded}. */
public interface ItemListener {

  /** The server has begun to answer, under the given weight version if it told one. */
  void onStarted(Optional<WeightVersion> version);

  /** A whole event has arrived. */
  void onEvent(ItemEvent event);

  /** The run has ended. */
  void onEnded(ItemRunOutcome outcome);
}
