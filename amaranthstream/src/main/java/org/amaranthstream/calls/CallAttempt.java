package org.amaranthstream.calls;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.servers.TrackedServer;
import org.jspecify.annotations.Nullable;

/** Attempt to send a request to one server. Must be used on one thread. */
final class CallAttempt implements AttemptListener {
  /** A longer response is streamed to the caller as it arrives. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private final ActiveCall activeCall;
  private final TrackedServer server;
  private final Buffer bufferedBody = Buffer.buffer();
  private CallTransport.@Nullable Attempt attempt;
  private @Nullable ResponseHead head;
  private long sentNanos;
  private boolean isOver;

  CallAttempt(ActiveCall activeCall, TrackedServer server) {
    this.activeCall = activeCall;
    this.server = server;
  }

  void start(CallTransport transport, OutboundCall call, Duration timeLeft) {
    server.onRequestSent();
    sentNanos = activeCall.service().timers().nowNanos();
    attempt = transport.send(server, call, timeLeft, this);
  }

  BackendServerId serverId() {
    return server.id();
  }

  TrackedServer server() {
    return server;
  }

  boolean isOn(TrackedServer other) {
    return server == other;
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

  /** Returns true if the response is too long to be buffered. */
  boolean exceedsBuffer() {
    boolean isAnnounced = head().length().orElse(0) > MAX_BUFFERED_BYTES;
    return isAnnounced || bufferedBody.length() > MAX_BUFFERED_BYTES;
  }

  @Override
  public void onHead(ResponseHead received) {
    if (isOver) {
      return;
    }
    head = received;
    server.onResponse();
    activeCall.service().crashes().onResponse(server, sentNanos);
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
    if (activeCall.isCommitted(this)) {
      forward(data);
      return;
    }
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
    long now = activeCall.service().timers().nowNanos();
    if (failure instanceof AttemptFailure.NotRun) {
      server.onFull(now);
      activeCall.service().crashes().onResponse(server, sentNanos);
    } else if (failure instanceof AttemptFailure.ServerReplaced) {
      activeCall.service().directory().onIncarnationReplaced(server);
    } else {
      server.onFailed(now, failure.toString());
    }
    activeCall.onFailed(this, failure);
  }

  /** Cancels the attempt. */
  void cancel() {
    if (close() && attempt != null) {
      attempt.cancel();
    }
  }

  private boolean close() {
    if (isOver) {
      return false;
    }
    isOver = true;
    server.onRequestEnded();
    return true;
  }
}
