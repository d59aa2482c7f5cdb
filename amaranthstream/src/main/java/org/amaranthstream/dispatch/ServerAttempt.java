package org.amaranthstream.dispatch;

import java.util.Optional;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request on a server of the own availability zone. Events after its end are
 * ignored. Used on the decision thread only.
 */
final class ServerAttempt implements AttemptListener, RunningAttempt {
  final ActiveRequest request;
  final ServerState server;
  final AttemptId id;
  final long startNanos;
  final int loadAtStart;
  final long startOffset;
  private final ServerAttemptListener events;
  private BackendTransport.@Nullable Attempt handle;
  private boolean closed;
  private boolean cancelled;
  private boolean sending;
  private boolean answering;
  private long firstPartNanos;
  private long progressNanos;
  private Optional<Incarnation> incarnation;

  ServerAttempt(
      ActiveRequest request,
      ServerState server,
      AttemptId id,
      long startNanos,
      int loadAtStart,
      ServerAttemptListener events) {
    this.request = request;
    this.server = server;
    this.id = id;
    this.startNanos = startNanos;
    this.loadAtStart = loadAtStart;
    this.events = events;
    this.startOffset = request.partial.tokens();
    this.progressNanos = startNanos;
    this.incarnation = server.incarnation();
  }

  void attach(BackendTransport.Attempt started) {
    handle = started;
    if (cancelled) {
      started.cancel();
    }
  }

  @Override
  public void onSending() {
    if (!closed) {
      sending = true;
    }
  }

  @Override
  public void onChunk(Chunk chunk) {
    if (!closed) {
      sending = true;
      events.onChunk(this, chunk);
    }
  }

  @Override
  public void onEnd(AttemptEnd end) {
    if (!closed) {
      closed = true;
      events.onEnd(this, end);
    }
  }

  /** Notes progress and the incarnation that made it. */
  void progressed(Chunk chunk, long nowNanos) {
    answered(nowNanos);
    progressNanos = nowNanos;
    if (chunk.incarnation().isPresent()) {
      incarnation = chunk.incarnation();
    }
  }

  /** Notes the time of the first part of the answer. */
  void answered(long nowNanos) {
    if (!answering) {
      answering = true;
      firstPartNanos = nowNanos;
    }
  }

  /** Returns true if parts of the answer came from it and need not be generated again. */
  boolean hasKeptParts() {
    return request.partial.tokens() > startOffset;
  }

  long firstPartNanos() {
    return firstPartNanos;
  }

  @Override
  public void cancel() {
    closed = true;
    cancelled = true;
    if (handle != null) {
      handle.cancel();
    }
  }

  @Override
  public String place() {
    return server.server.id().value();
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns true once bytes of the request may have left. */
  boolean isSending() {
    return sending;
  }

  /** Returns true once a part of the answer arrived. */
  boolean isAnswering() {
    return answering;
  }

  long progressNanos() {
    return progressNanos;
  }

  Crash asCrash() {
    return new Crash(server.server.id(), incarnation);
  }
}
