package org.amaranthstream.fleet;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import org.amaranthstream.calls.CallerExchange;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Response to a caller, as the caller sees it. */
final class RecordedResponse implements CallerExchange {
  private final String id;
  private final TimerService timers;
  private final long startNanos;
  private final Buffer body = Buffer.buffer();
  private Runnable onDisconnect = () -> {};
  private @Nullable ErrorDetail error;
  private boolean isComplete;
  private boolean isAborted;
  private boolean isReading = true;
  private Runnable onDrained = () -> {};
  private long endNanos;

  RecordedResponse(String id, TimerService timers) {
    this.id = id;
    this.timers = timers;
    this.startNanos = timers.nowNanos();
  }

  String id() {
    return id;
  }

  boolean isComplete() {
    return isComplete;
  }

  boolean isAborted() {
    return isAborted;
  }

  boolean isNotRun() {
    return error != null && error.code().isNotRun();
  }

  boolean isOver() {
    return isComplete || error != null;
  }

  String body() {
    return body.toString();
  }

  Duration duration() {
    return Duration.ofNanos(endNanos - startNanos);
  }

  void disconnect() {
    onDisconnect.run();
  }

  @Override
  public void onCallerDisconnected(Runnable task) {
    onDisconnect = task;
  }

  @Override
  public void sendResponse(ResponseHead head, Buffer data) {
    body.appendBuffer(data);
    end();
  }

  @Override
  public void beginResponse(ResponseHead head) {}

  @Override
  public void write(Buffer data) {
    body.appendBuffer(data);
  }

  /** Sets whether the caller reads the response. */
  void setReading(boolean isReading) {
    this.isReading = isReading;
    if (isReading) {
      onDrained.run();
    }
  }

  @Override
  public boolean isFull() {
    return !isReading;
  }

  @Override
  public void onDrained(Runnable task) {
    onDrained = task;
  }

  @Override
  public void end() {
    isComplete = true;
    endNanos = timers.nowNanos();
  }

  @Override
  public void abort() {
    isAborted = true;
    endNanos = timers.nowNanos();
  }

  @Override
  public void fail(ErrorDetail detail, Duration retryAfter) {
    error = detail;
    endNanos = timers.nowNanos();
  }
}
