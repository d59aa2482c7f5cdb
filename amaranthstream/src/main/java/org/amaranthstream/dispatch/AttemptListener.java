package org.amaranthstream.dispatch;

/**
 * Listener for the events of one attempt. All methods are called on the decision thread; {@link
 * #onEnd} is the last call.
 */
public interface AttemptListener {

  /** Called before the first byte of the request is written to the connection. */
  void onSending();

  /** Called for each chunk of the response. */
  void onChunk(Chunk chunk);

  /** Called once, when the attempt ends. */
  void onEnd(AttemptEnd end);
}
