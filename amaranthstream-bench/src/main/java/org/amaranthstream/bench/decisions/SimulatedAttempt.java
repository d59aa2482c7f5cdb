package org.amaranthstream.bench.decisions;

import java.util.Optional;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.AttemptListener;
import org.amaranthstream.dispatch.BackendTransport;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.AffinityKey;

/** An attempt on a simulated server. Not thread safe. */
final class SimulatedAttempt implements BackendTransport.Attempt {
  static final String POISON = "poison";
  private static final int PART_TOKENS = 8;

  final Work work;
  final AttemptListener listener;
  long offset;
  private final SimulatedServer server;
  private final long startOffset;
  private boolean ended;

  SimulatedAttempt(Work work, long offset, AttemptListener listener, SimulatedServer server) {
    this.work = work;
    this.offset = offset;
    this.startOffset = offset;
    this.listener = listener;
    this.server = server;
  }

  private Payload.Generate payload() {
    return (Payload.Generate) work.payload();
  }

  Optional<String> prefix() {
    return work.affinity().map(AffinityKey::value);
  }

  boolean isPoison() {
    return payload().prompt().equals(POISON);
  }

  boolean isFirstPart() {
    return offset == startOffset;
  }

  /** Returns the tokens of the next part, 0 at the end. */
  int nextPart() {
    return (int) Math.min(PART_TOKENS, payload().maxTokens() - offset);
  }

  void give(Chunk chunk) {
    offset += chunk.tokens();
    if (!ended) {
      listener.onChunk(chunk);
    }
  }

  void end(AttemptEnd end) {
    if (!ended) {
      ended = true;
      listener.onEnd(end);
    }
  }

  @Override
  public void cancel() {
    ended = true;
    server.cancel(this);
  }
}
