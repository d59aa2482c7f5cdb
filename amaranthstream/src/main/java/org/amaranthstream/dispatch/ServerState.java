package org.amaranthstream.dispatch;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.placement.ConcurrencyLimit;
import org.amaranthstream.placement.ServerHealth;
import org.amaranthstream.quarantine.Crash;
import org.jspecify.annotations.Nullable;

/** This daemon's state of one backend server. Used on the decision thread only. */
final class ServerState {
  final BackendServer server;
  final ConcurrencyLimit limit;
  final ServerHealth health;
  final Set<ServerAttempt> running = new LinkedHashSet<>();
  private final InFlightHistory history = new InFlightHistory();
  private Optional<LoadReport> report = Optional.empty();
  private boolean leaving;
  private boolean rejectedAsDraining;
  private Optional<Incarnation> drainingIncarnation = Optional.empty();
  private long drainingNanos;
  private boolean backingOff;
  private long backoffEndNanos;
  private @Nullable Crash suspectedCrash;
  private long suspectedNanos;

  ServerState(BackendServer server, ConcurrencyLimit limit, ServerHealth health) {
    this.server = server;
    this.limit = limit;
    this.health = health;
  }

  /** Applies the directory's current view of the server. */
  void update(BackendView view) {
    leaving = view.leaving();
    updateReport(view.report());
    if (rejectedAsDraining && isRestarted()) {
      rejectedAsDraining = false;
    }
  }

  private void updateReport(Optional<LoadReport> newest) {
    boolean isNew = newest.isPresent() && !newest.equals(report);
    report = newest;
    if (isNew) {
      limit.onReport(newest.get().running(), newest.get().queued());
    }
  }

  /** Returns true if a report after the rejection as draining is of another incarnation. */
  private boolean isRestarted() {
    return drainingIncarnation.isPresent()
        && report.isPresent()
        && !report.get().draining()
        && report.get().takenNanos() - drainingNanos > 0
        && !report.get().incarnation().equals(drainingIncarnation.get());
  }

  Optional<LoadReport> report() {
    return report;
  }

  Optional<Incarnation> incarnation() {
    return report.map(LoadReport::incarnation);
  }

  /** Returns true if the server is draining and accepts no new work. */
  boolean isDraining() {
    return leaving || rejectedAsDraining || report.map(LoadReport::draining).orElse(false);
  }

  /** Records that the server rejected a request as draining. */
  void markDraining(long nowNanos) {
    rejectedAsDraining = true;
    drainingNanos = nowNanos;
    drainingIncarnation = incarnation();
  }

  /** Returns true if a backoff of the server is in effect. */
  boolean isBackingOff(long nowNanos) {
    if (backingOff && nowNanos - backoffEndNanos >= 0) {
      backingOff = false;
    }
    return backingOff;
  }

  /** Starts a backoff, or extends the present one. */
  void backOff(long untilNanos) {
    if (!backingOff || untilNanos - backoffEndNanos > 0) {
      backoffEndNanos = untilNanos;
    }
    backingOff = true;
  }

  /** Adds an attempt to the requests in flight. */
  void started(ServerAttempt attempt, long nowNanos) {
    running.add(attempt);
    history.add(nowNanos, running.size());
  }

  /** Removes an attempt from the requests in flight. Returns false if it had already ended. */
  boolean ended(ServerAttempt attempt, long nowNanos) {
    boolean removed = running.remove(attempt);
    if (removed) {
      history.add(nowNanos, running.size());
    }
    return removed;
  }

  /**
   * Returns the estimated load: the requests that this daemon has in flight, and an estimate of
   * those of other daemons. The estimate is the load in the last report minus the requests that
   * this daemon had in flight at the time of the report. It decreases linearly to 0 at the report
   * age {@code maxAgeNanos}.
   */
  int load(long nowNanos, long maxAgeNanos) {
    if (report.isEmpty()) {
      return running.size();
    }
    LoadReport newest = report.get();
    long age = Math.max(0, nowNanos - newest.takenNanos());
    int inFlightAtReport = history.at(newest.takenNanos());
    int others = Math.max(0, newest.running() + newest.queued() - inFlightAtReport);
    double weight = Math.max(0, 1 - (double) age / maxAgeNanos);
    return running.size() + (int) Math.round(others * weight);
  }

  /** Records a suspected crash, for {@link #takeRefutedCrash}. */
  void suspectCrash(Crash crash, long nowNanos) {
    suspectedCrash = crash;
    suspectedNanos = nowNanos;
  }

  /**
   * Returns and clears the suspected crash if a newer report is of the same incarnation, which
   * shows that the server did not crash.
   */
  Optional<Crash> takeRefutedCrash() {
    if (suspectedCrash == null || report.isEmpty() || suspectedCrash.incarnation().isEmpty()) {
      return Optional.empty();
    }
    boolean newer = report.get().takenNanos() - suspectedNanos > 0;
    boolean same = report.get().incarnation().equals(suspectedCrash.incarnation().get());
    if (!newer || !same) {
      return Optional.empty();
    }
    Optional<Crash> refuted = Optional.of(suspectedCrash);
    suspectedCrash = null;
    return refuted;
  }
}
