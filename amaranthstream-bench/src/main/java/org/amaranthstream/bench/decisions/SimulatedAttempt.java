package org.amaranthstream.bench.decisions;

import java.util.Optional;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.AttemptListener;
import org.amaranthstream.dispatch.BackendTransport;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.AffinityKey;

/** Attempt on a simulated server. Not thread safe. */
final class SimulatedAttempt implements BackendTransport.Attempt {
  /** Prompt of a request that crashes the server that runs it. */
  static final String POISON = "poison";

  private static final int CHUNK_TOKENS = 8;

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

  boolean isFirstChunk() {
    return offset == startOffset;
  }

  /** Returns the number of tokens in the next chunk; 0 if the generation is complete. */
  int nextChunkTokens() {
    return (int) Math.min(CHUNK_TOKENS, payload().maxTokens() - offset);
  }

  /** Passes a chunk to the listener, unless the attempt has ended. */
  void deliver(Chunk chunk) {
    offset += chunk.tokens();
    if (!ended) {
      listener.onChunk(chunk);
    }
  }

  /** Ends the attempt and notifies the listener, unless the attempt has ended already. */
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
