package org.amaranthstream.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.quarantine.Fingerprint;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.time.Subscription;
import org.jspecify.annotations.Nullable;

/** State of a request from its submission to its outcome. Confined to the decision thread. */
final class ActiveRequest implements QueuedRequest {
  /** Stage of a request. */
  enum State {
    QUEUED,
    ON_SERVER,
    FORWARDED,
    DONE
  }

  final Work work;
  final WorkListener listener;
  final PartialResponse partial;
  final Fingerprint fingerprint;
  final Set<BackendServerId> failedServers = new HashSet<>();
  final Set<AvailabilityZoneId> failedZones = new HashSet<>();

  /** Servers on which a connection stalled although a new connection to the server worked. */
  final Set<BackendServerId> serversWithStalledConnection = new HashSet<>();

  private final long arrival;
  private Optional<Subscription> timer = Optional.empty();
  State state = State.QUEUED;

  /** Number of attempts that may have reached a server, including the current one. */
  int attempts;

  /** Number of attempts that are known not to have run. */
  int refusals;

  /** True if an attempt that has ended may have run the request. */
  boolean mayHaveRun;

  /** The current attempt on a local server or in another zone; null if there is none. */
  @Nullable RunningAttempt running;

  /** The error of the last attempt that may have run the request. */
  @Nullable ErrorDetail lastError;

  ActiveRequest(Work work, WorkListener listener, long arrival) {
    this.work = work;
    this.listener = listener;
    this.arrival = arrival;
    this.partial = new PartialResponse(work, listener);
    this.fingerprint = WorkFingerprints.of(work);
  }

  @Override
  public Priority priority() {
    return work.priority();
  }

  @Override
  public long deadlineNanos() {
    return work.deadlineNanos();
  }

  @Override
  public long arrival() {
    return arrival;
  }

  /**
   * Returns true if the request can run wherever any other request of its priority can: it requires
   * no weight version and has failed on no server and in no zone.
   */
  boolean isUnconstrained() {
    return work.minimumVersion().isEmpty() && failedServers.isEmpty() && failedZones.isEmpty();
  }

  /** Returns the time left until the deadline, negative after it. */
  long slackNanos(long nowNanos) {
    return work.deadlineNanos() - nowNanos;
  }

  /** Cancels the current timer, if any, and keeps {@code subscription} in its place. */
  void setTimer(Subscription subscription) {
    cancelTimer();
    timer = Optional.of(subscription);
  }

  void cancelTimer() {
    timer.ifPresent(Subscription::cancel);
    timer = Optional.empty();
  }
}
