package org.amaranthstream.rollout;

import java.util.function.BiConsumer;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.ids.RequestId;

/** One attempt to generate a slot. Not thread safe; used on the decision thread only. */
final class SlotAttempt implements WorkListener {
  private final int slot;
  private final RequestId request;
  private final SampleCollector collector;
  private final BiConsumer<SlotAttempt, Outcome> onOutcome;
  private final long startedNanos;
  private boolean closed;

  SlotAttempt(
      int slot,
      int group,
      RequestId request,
      long startedNanos,
      BiConsumer<SlotAttempt, Outcome> onOutcome) {
    this.slot = slot;
    this.request = request;
    this.collector = new SampleCollector(slot, group);
    this.onOutcome = onOutcome;
    this.startedNanos = startedNanos;
  }

  int slot() {
    return slot;
  }

  long startedNanos() {
    return startedNanos;
  }

  RequestId request() {
    return request;
  }

  SampleCollector collector() {
    return collector;
  }

  /** Ignores all further events of the attempt. */
  void close() {
    closed = true;
  }

  @Override
  public void onChunk(Chunk chunk) {
    if (!closed) {
      collector.add(chunk);
    }
  }

  @Override
  public void onOutcome(Outcome outcome) {
    if (!closed) {
      closed = true;
      onOutcome.accept(this, outcome);
    }
  }
}
