package org.amaranthstream.calls;

import com.google.common.collect.ImmutableList;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.servers.TrackedServer;
import org.jspecify.annotations.Nullable;

/** Attempt to send a request to one target. Must be used on one thread. */
final class CallAttempt implements AttemptListener {
  /** A longer response is streamed to the caller as it arrives. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private final ActiveCall activeCall;
  private final AttemptTarget target;
  private final Buffer bufferedBody = Buffer.buffer();
  private CallTransport.@Nullable Attempt attempt;
  private @Nullable ResponseHead head;
  private boolean hasRoom = true;
  private boolean isOver;

  CallAttempt(ActiveCall activeCall, AttemptTarget target) {
    this.activeCall = activeCall;
    this.target = target;
  }

  void start(OutboundCall call, Duration timeLeft) {
    attempt = target.send(call, timeLeft, this);
  }

  /** Returns the server that runs the request, empty if a peer forwards it to one. */
  Optional<TrackedServer> server() {
    return target.server();
  }

  /** Returns the number of servers that may receive the request through this attempt. */
  int maxServers() {
    return target.maxServers();
  }

  /** Returns the servers to one or more of which the attempt may send the request. */
  ImmutableList<TrackedServer> reachableServers() {
    return target.reachableServers();
  }

  boolean isOn(TrackedServer other) {
    return server().filter(server -> server == other).isPresent();
  }

  /** Returns true if the attempt still waits for a connection, so that it has not run. */
  boolean isConnecting() {
    return attempt != null && !attempt.isSent();
  }

  ResponseHead head() {
    if (head == null) {
      throw new IllegalStateException("the head of the response has not arrived yet");
    }
    return head;
  }

  Buffer body() {
    return bufferedBody;
  }

  /** Returns true if the response is too long to be buffered, or there is no memory for it. */
  boolean exceedsBuffer() {
    boolean isAnnounced = head().length().orElse(0) > MAX_BUFFERED_BYTES;
    return isAnnounced || !hasRoom || bufferedBody.length() > MAX_BUFFERED_BYTES;
  }

  @Override
  public void onSent() {
    if (!isOver) {
      target.onSent();
    }
  }

  @Override
  public void onHead(ResponseHead received) {
    if (isOver) {
      return;
    }
    head = received;
    target.onProgress();
    if (activeCall.shouldStream(this)) {
      startStreaming();
    }
  }

  private void startStreaming() {
    activeCall.commit(this);
    activeCall.onStreamBegins(this);
    activeCall.exchange().beginResponse(head());
    if (bufferedBody.length() > 0) {
      activeCall.exchange().write(bufferedBody);
    }
  }

  @Override
  public void onData(Buffer data) {
    if (isOver) {
      return;
    }
    target.onProgress();
    if (activeCall.isCommitted(this)) {
      forward(data);
      return;
    }
    hasRoom &= activeCall.exchange().reserve(data.length());
    bufferedBody.appendBuffer(data);
    if (activeCall.shouldStream(this)) {
      startStreaming();
    }
  }

  private void forward(Buffer data) {
    activeCall.exchange().write(data);
    CallTransport.Attempt sending = attempt;
    if (sending != null && activeCall.exchange().isFull()) {
      sending.setPaused(true);
      activeCall.exchange().onDrained(() -> sending.setPaused(false));
    }
  }

  @Override
  public void onEnd() {
    if (!close()) {
      return;
    }
    if (activeCall.isCommitted(this)) {
      activeCall.onStreamedResponse(this);
    } else {
      activeCall.onBufferedResponse(this);
    }
  }

  @Override
  public void onFailed(AttemptFailure failure) {
    if (!close()) {
      return;
    }
    target.onFailed(failure);
    activeCall.onFailed(this, failure);
  }

  /** Cancels the attempt. */
  void cancel() {
    if (close() && attempt != null) {
      target.onCancelled();
      attempt.cancel();
    }
  }

  private boolean close() {
    if (isOver) {
      return false;
    }
    isOver = true;
    target.onEnded();
    return true;
  }

  @Override
  public String toString() {
    return target.toString();
  }
}
