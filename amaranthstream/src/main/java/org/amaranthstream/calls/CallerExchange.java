package org.amaranthstream.calls;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import org.amaranthstream.result.ErrorDetail;

/** The caller's side of a request. */
public interface CallerExchange {

  /** Calls {@code task} if the caller leaves before its answer is whole. */
  void onCallerDisconnected(Runnable task);

  /** Sends a whole answer of a backend server. */
  void sendResponse(ResponseHead head, Buffer body);

  /** Begins to pass on an answer of a backend server. */
  void beginResponse(ResponseHead head);

  /** Passes on a part of the body. */
  void write(Buffer data);

  /** Returns true if the caller reads more slowly than it is written to. */
  boolean isFull();

  /** Calls {@code task} once the caller has read enough. */
  void onDrained(Runnable task);

  /** Ends an answer that is whole. */
  void end();

  /** Breaks off an answer that has begun, so that the caller sees that it is not whole. */
  void abort();

  /**
   * Answers without a backend server.
   *
   * @param retryAfter when the caller may come back, if it is told
   */
  void fail(ErrorDetail error, Duration retryAfter);
}
