package org.amaranthstream.calls;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.servers.TrackedServer;
import org.jspecify.annotations.Nullable;

/** One attempt of a request at one server. Used on one thread. */
final class CallAttempt implements AttemptListener {
  /** An answer that is longer is passed on as it arrives. */
  private static final int MAX_HELD_BYTES = 1 << 20;

  private final CallRun run;
  private final TrackedServer server;
  private final Buffer held = Buffer.buffer();
  private CallTransport.@Nullable Attempt attempt;
  private @Nullable AnswerHead head;
  private boolean isOver;

  CallAttempt(CallRun run, TrackedServer server) {
    this.run = run;
    this.server = server;
  }

  void start(CallTransport transport, OutboundCall call, Duration timeLeft) {
    server.begin();
    attempt = transport.send(server, call, timeLeft, this);
  }

  BackendServerId serverId() {
    return server.id();
  }

  AnswerHead head() {
    if (head == null) {
      throw new IllegalStateException("the server has not answered yet");
    }
    return head;
  }

  Buffer body() {
    return held;
  }

  /** Returns true if the answer is too long to be held back. */
  boolean isLong() {
    boolean isAnnounced = head().length().orElse(0) > MAX_HELD_BYTES;
    return isAnnounced || held.length() > MAX_HELD_BYTES;
  }

  @Override
  public void onHead(AnswerHead received) {
    if (isOver) {
      return;
    }
    head = received;
    server.onAnswered();
    if (run.shouldStream(this)) {
      beginStream();
    }
  }

  private void beginStream() {
    run.commit(this);
    run.exchange().begin(head());
    if (held.length() > 0) {
      run.exchange().write(held);
    }
  }

  @Override
  public void onData(Buffer data) {
    if (isOver) {
      return;
    }
    if (run.isCommitted(this)) {
      passOn(data);
      return;
    }
    held.appendBuffer(data);
    if (run.shouldStream(this)) {
      beginStream();
    }
  }

  private void passOn(Buffer data) {
    run.exchange().write(data);
    CallTransport.Attempt sending = attempt;
    if (sending != null && run.exchange().isFull()) {
      sending.setPaused(true);
      run.exchange().onDrained(() -> sending.setPaused(false));
    }
  }

  @Override
  public void onEnd() {
    if (!close()) {
      return;
    }
    if (run.isCommitted(this)) {
      run.onStreamed(this);
    } else {
      run.onWhole(this);
    }
  }

  @Override
  public void onFailed(AttemptFailure failure) {
    if (!close()) {
      return;
    }
    long now = run.service().timers().nowNanos();
    if (failure instanceof AttemptFailure.NotRun) {
      server.onFull(now);
    } else if (failure instanceof AttemptFailure.ServerReplaced) {
      run.service().directory().onReplaced(server);
    } else {
      server.onFailed(now, failure.toString());
    }
    run.onFailed(this, failure);
  }

  /** Ends the attempt at the server. */
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
    server.end();
    return true;
  }
}
