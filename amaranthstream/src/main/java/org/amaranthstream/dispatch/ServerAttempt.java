package org.amaranthstream.dispatch;

import java.util.Optional;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.quarantine.Crash;
import org.jspecify.annotations.Nullable;

/**
 * An attempt of a request on a server of the local availability zone. Events after its end are
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
  private boolean responding;
  private long firstChunkNanos;
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

  /** Sets the transport's handle, and cancels it if the attempt was cancelled in the meantime. */
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

  /** Records progress and the incarnation that made it. */
  void recordProgress(Chunk chunk, long nowNanos) {
    recordFirstChunk(nowNanos);
    progressNanos = nowNanos;
    if (chunk.incarnation().isPresent()) {
      incarnation = chunk.incarnation();
    }
  }

  /** Records the time of the first chunk of the response; later calls have no effect. */
  void recordFirstChunk(long nowNanos) {
    if (!responding) {
      responding = true;
      firstChunkNanos = nowNanos;
    }
  }

  /** Returns true if this attempt produced tokens, which the next attempt does not repeat. */
  boolean hasProgressed() {
    return request.partial.tokens() > startOffset;
  }

  /** Returns the monotonic time of the first chunk, in nanoseconds. */
  long firstChunkNanos() {
    return firstChunkNanos;
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

  /** Returns true once the attempt has ended or was cancelled. */
  boolean isClosed() {
    return closed;
  }

  /** Returns true once bytes of the request may have been sent. */
  boolean isSending() {
    return sending;
  }

  /** Returns true once a chunk of the response has arrived. */
  boolean isResponding() {
    return responding;
  }

  /** Returns the monotonic time of the last progress, or of the start, in nanoseconds. */
  long progressNanos() {
    return progressNanos;
  }

  /** Returns the crash of the incarnation that ran the attempt. */
  Crash toCrash() {
    return new Crash(server.server.id(), incarnation);
  }
}
