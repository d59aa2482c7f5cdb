package org.amaranthstream.calls;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import org.amaranthstream.result.ErrorDetail;

/** Exchange with a caller, which receives the response to one request. */
public interface CallerExchange {

  /** Registers a task to run if the caller disconnects before the response is complete. */
  void onCallerDisconnected(Runnable task);

  /**
   * Reserves memory for a part of a response that is buffered, until the exchange has ended.
   *
   * @return false if there is no room; the response should then be forwarded as it arrives
   */
  default boolean reserve(int bytes) {
    return true;
  }

  /** Sends a complete response of a backend server. */
  void sendResponse(ResponseHead head, Buffer body);

  /** Starts to forward a response of a backend server. */
  void beginResponse(ResponseHead head);

  /** Forwards a part of the body. */
  void write(Buffer data);

  /** Returns true if the write queue is full, because the caller reads too slowly. */
  boolean isFull();

  /** Registers a task to run once the write queue has drained. */
  void onDrained(Runnable task);

  /** Ends a response that is complete. */
  void end();

  /** Aborts a response that has started, so that the caller can detect that it is incomplete. */
  void abort();

  /**
   * Sends an error response of this daemon.
   *
   * @param error the error to report
   * @param retryAfter the delay after which the caller may retry, for errors that report one
   */
  void fail(ErrorDetail error, Duration retryAfter);

  /**
   * Called once the call has ended and refers to neither the request's body nor buffered responses,
   * so that the memory of both can be given back.
   */
  default void onCallEnded() {}
}
