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
import org.jspecify.annotations.Nullable;

/** What this process knows of one backend server. Used on the decision thread only. */
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

  /** Returns true if a report after the server said that it leaves is of another incarnation. */
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

  /** Returns true if the server leaves and gets no new work. */
  boolean isDraining() {
    return leaving || rejectedAsDraining || report.map(LoadReport::draining).orElse(false);
  }

  void markDraining(long nowNanos) {
    rejectedAsDraining = true;
    drainingNanos = nowNanos;
    drainingIncarnation = incarnation();
  }

  boolean isBackingOff(long nowNanos) {
    if (backingOff && nowNanos - backoffEndNanos >= 0) {
      backingOff = false;
    }
    return backingOff;
  }

  void backOff(long untilNanos) {
    if (!backingOff || untilNanos - backoffEndNanos > 0) {
      backoffEndNanos = untilNanos;
    }
    backingOff = true;
  }

  void started(ServerAttempt attempt, long nowNanos) {
    running.add(attempt);
    history.add(nowNanos, running.size());
  }

  /** Returns false if the attempt had ended before. */
  boolean ended(ServerAttempt attempt, long nowNanos) {
    boolean removed = running.remove(attempt);
    if (removed) {
      history.add(nowNanos, running.size());
    }
    return removed;
  }

  /**
   * Returns own requests in flight and an estimate of those of others: what the report showed
   * beyond the own ones at its time, fading out until {@code maxAgeNanos}.
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

  void suspectCrash(Crash crash, long nowNanos) {
    suspectedCrash = crash;
    suspectedNanos = nowNanos;
  }

  /** Returns the suspected crash if a newer report shows that it was none, and forgets it. */
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
