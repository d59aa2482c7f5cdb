package org.amaranthstream.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.time.Subscription;
import org.jspecify.annotations.Nullable;

/** A request between submission and outcome. Used on the decision thread only. */
final class ActiveRequest implements QueuedRequest {
  /** Where a request is. */
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

  /** Servers on which a connection went silent while a fresh one worked. */
  final Set<BackendServerId> silentServers = new HashSet<>();

  private final long arrival;
  private Optional<Subscription> timer = Optional.empty();
  State state = State.QUEUED;

  /** Attempts that may have reached a server, the present one included. */
  int attempts;

  /** Attempts that are known not to have run. */
  int refusals;

  /** True if an ended attempt may have run the request. */
  boolean mayHaveRun;

  /** The attempt on a server or the forwarding that is at work. */
  @Nullable RunningAttempt running;

  /** The error of the last attempt that may have run the request. */
  @Nullable ErrorDetail lastError;

  ActiveRequest(Work work, WorkListener listener, long arrival) {
    this.work = work;
    this.listener = listener;
    this.arrival = arrival;
    this.partial = new PartialResponse(work, listener);
    this.fingerprint = Fingerprint.of(work);
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

  /** Returns true if the places and times that suit it are those of all of its priority. */
  boolean isPlain() {
    return work.minimumVersion().isEmpty() && failedServers.isEmpty() && failedZones.isEmpty();
  }

  long slackNanos(long nowNanos) {
    return work.deadlineNanos() - nowNanos;
  }

  /** Replaces the timer. */
  void arm(Subscription subscription) {
    disarm();
    timer = Optional.of(subscription);
  }

  void disarm() {
    timer.ifPresent(Subscription::cancel);
    timer = Optional.empty();
  }
}
