package org.amaranthstream.calls;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** An exchange that records the response to the caller. */
final class RecordingExchange implements CallerExchange {
  private int status;
  private @Nullable ErrorDetail error;
  private @Nullable Duration retryAfter;

  /** Returns the status of the server's response, 0 if there is none. */
  int status() {
    return status;
  }

  Optional<ResultCode> errorCode() {
    return Optional.ofNullable(error).map(ErrorDetail::code);
  }

  Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }

  @Override
  public void onCallerDisconnected(Runnable task) {}

  @Override
  public void sendResponse(ResponseHead head, Buffer body) {
    status = head.status().code();
  }

  @Override
  public void beginResponse(ResponseHead head) {
    status = head.status().code();
  }

  @Override
  public void write(Buffer data) {}

  @Override
  public boolean isFull() {
    return false;
  }

  @Override
  public void onDrained(Runnable task) {}

  @Override
  public void end() {}

  @Override
  public void abort() {}

  @Override
  public void fail(ErrorDetail error, Duration retryAfter) {
    this.error = error;
    this.retryAfter = retryAfter;
  }
}
