package org.amaranthstream.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Listener that records the chunks and outcomes of one request. */
final class RecordingWorkListener implements WorkListener {
  final StringBuilder text = new StringBuilder();
  final List<Chunk> chunks = new ArrayList<>();
  final List<Outcome> outcomes = new ArrayList<>();

  @Override
  public void onChunk(Chunk chunk) {
    chunks.add(chunk);
    text.append(chunk.text());
  }

  @Override
  public void onOutcome(Outcome outcome) {
    outcomes.add(outcome);
  }

  boolean isDone() {
    return !outcomes.isEmpty();
  }

  Outcome outcome() {
    if (outcomes.size() != 1) {
      throw new AssertionError("expected exactly one outcome: " + outcomes);
    }
    return outcomes.get(0);
  }
}
