package org.amaranthstream.dispatch;

/**
 * Receiver of the answer to one request. Called on the decision thread; {@link #onOutcome} is the
 * last call and comes exactly once.
 */
public interface WorkListener {

  /** Receives the next part of the answer; parts come in order, without gaps or repeats. */
  void onChunk(Chunk chunk);

  /** Receives the final outcome. */
  void onOutcome(Outcome outcome);
}
