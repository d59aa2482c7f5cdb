package org.amaranthstream.dispatch;

/** Receiver of the events of one attempt, on the decision thread; {@link #onEnd} is the last. */
public interface AttemptListener {

  /** Bytes of the request may leave from now on. */
  void onSending();

  /** Part of the answer. */
  void onChunk(Chunk chunk);

  /** The end of the attempt. */
  void onEnd(AttemptEnd end);
}
