package org.amaranthstream.dispatch;

import org.amaranthstream.ids.AvailabilityZoneId;

/**
 * An attempt that runs in another availability zone. Events after its end are ignored. Confined to
 * the decision thread.
 */
final class ForwardedAttempt implements WorkListener, RunningAttempt {
  /** Listener for the events of all forwarded attempts. */
  interface Listener {
    void onChunk(ForwardedAttempt attempt, Chunk chunk);

    void onOutcome(ForwardedAttempt attempt, Outcome outcome);
  }

  final ActiveRequest request;
  final AvailabilityZoneId zone;
  final long startNanos;
  private final ZoneForwarder forwarder;
  private final Listener listener;
  private boolean closed;

  ForwardedAttempt(
      ActiveRequest request,
      AvailabilityZoneId zone,
      long startNanos,
      ZoneForwarder forwarder,
      Listener listener) {
    this.request = request;
    this.zone = zone;
    this.startNanos = startNanos;
    this.forwarder = forwarder;
    this.listener = listener;
  }

  @Override
  public void onChunk(Chunk chunk) {
    if (!closed) {
      listener.onChunk(this, chunk);
    }
  }

  @Override
  public void onOutcome(Outcome outcome) {
    if (!closed) {
      closed = true;
      listener.onOutcome(this, outcome);
    }
  }

  @Override
  public void cancel() {
    closed = true;
    forwarder.cancel(request.work.id());
  }

  @Override
  public String place() {
    return zone.value();
  }
}
