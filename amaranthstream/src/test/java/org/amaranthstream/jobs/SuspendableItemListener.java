package org.amaranthstream.jobs;

import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.time.PausableTimerService;

/** Listener that receives the events of a suspension once its daemon has resumed. */
final class SuspendableItemListener implements ItemListener {
  private final ItemListener listener;
  private final PausableTimerService clock;

  SuspendableItemListener(ItemListener listener, PausableTimerService clock) {
    this.listener = listener;
    this.clock = clock;
  }

  @Override
  public void onStarted(Optional<WeightVersion> version) {
    clock.runOrDefer(() -> listener.onStarted(version));
  }

  @Override
  public void onEvent(ItemEvent event) {
    clock.runOrDefer(() -> listener.onEvent(event));
  }

  @Override
  public void onEnded(ItemRunOutcome outcome) {
    clock.runOrDefer(() -> listener.onEnded(outcome));
  }
}
