package org.amaranthstream.calls;

import io.vertx.core.buffer.Buffer;

/** Hears of one attempt; nothing follows {@link #onEnd} or {@link #onFailed}. */
public interface AttemptListener {

  /** The server has begun to answer. */
  void onHead(ResponseHead head);

  /** A part of the body has arrived. */
  void onData(Buffer data);

  /** The answer is whole. */
  void onEnd();

  /** There is no whole answer. */
  void onFailed(AttemptFailure failure);
}
