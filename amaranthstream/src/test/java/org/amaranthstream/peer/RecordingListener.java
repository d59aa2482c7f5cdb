package org.amaranthstream.peer;

import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.WorkListener;

/** Listener that records all chunks and outcomes. */
final class RecordingListener implements WorkListener {
  final List<Chunk> chunks = new ArrayList<>();
  final List<Outcome> outcomes = new ArrayList<>();

  @Override
  public void onChunk(Chunk chunk) {
    chunks.add(chunk);
  }

  @Override
  public void onOutcome(Outcome outcome) {
    outcomes.add(outcome);
  }
}
