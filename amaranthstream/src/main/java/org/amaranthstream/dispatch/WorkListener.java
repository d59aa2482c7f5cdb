package org.amaranthstream.dispatch;

/**
 * Receiver of the response to one request. Called on the decision thread. {@link #onOutcome} is
 * called exactly once, as the last call.
 */
public interface WorkListener {

  /** Receives the next chunk of the response; chunks arrive in order, without gaps or repeats. */
  void onChunk(Chunk chunk);

  /** Receives the final outcome. */
  void onOutcome(Outcome outcome);
}
