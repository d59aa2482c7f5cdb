package org.amaranthstream.calls;

import io.vertx.core.buffer.Buffer;

/** Listener for one attempt. No method is called after {@link #onEnd} or {@link #onFailed}. */
public interface AttemptListener {

  /** Called when the request is written to a connection to a server. */
  default void onSent() {}

  /** Called when the head of the response arrives. */
  void onHead(ResponseHead head);

  /** Called for each part of the body. */
  void onData(Buffer data);

  /** Called when the response is complete. */
  void onEnd();

  /** Called when the attempt fails without a complete response. */
  void onFailed(AttemptFailure failure);
}
