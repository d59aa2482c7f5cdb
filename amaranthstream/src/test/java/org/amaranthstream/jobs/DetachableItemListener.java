package org.amaranthstream.jobs;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.amaranthstream.ids.WeightVersion;

/** Listener that drops all events once its daemon is killed or cut off from the servers. */
final class DetachableItemListener implements ItemListener {
  private final ItemListener listener;
  private final BooleanSupplier isDetached;

  DetachableItemListener(ItemListener listener, BooleanSupplier isDetached) {
    this.listener = listener;
    this.isDetached = isDetached;
  }

  @Override
  public void onStarted(Optional<WeightVersion> version) {
    if (!isDetached.getAsBoolean()) {
      listener.onStarted(version);
    }
  }

  @Override
  public void onEvent(ItemEvent event) {
    if (!isDetached.getAsBoolean()) {
      listener.onEvent(event);
    }
  }

  @Override
  public void onEnded(ItemRunOutcome outcome) {
    if (!isDetached.getAsBoolean()) {
      listener.onEnded(outcome);
    }
  }
}
