package org.amaranthstream.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.amaranthstream.ids.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * The newest load report of one backend server, among own polls and reports that peers passed on.
 *
 * <p>A passed-on report looks younger than it is by the time it spent on the way. So an incarnation
 * that was superseded comes back only by an own poll, or when the current one has gone quiet.
 *
 * <p>Not thread safe.
 */
final class ServerReports {
  private static final int MAX_SUPERSEDED = 8;
  private static final long RELAY_SKEW_NANOS = Duration.ofSeconds(1).toNanos();

  private final Deque<Incarnation> superseded = new ArrayDeque<>();
  private @Nullable LoadReport current;
  private boolean polledHere;

  @Nullable LoadReport current() {
    return current;
  }

  @Nullable Incarnation incarnation() {
    return current == null ? null : current.incarnation();
  }

  /** Returns true if the newest report is an own poll. */
  boolean isPolledHere() {
    return polledHere;
  }

  void onPolled(LoadReport report) {
    adopt(report, true);
  }

  void onRelayed(LoadReport report, long nowNanos, long expiryNanos) {
    if (current == null || isNewer(report, current, nowNanos, expiryNanos)) {
      adopt(report, false);
    }
  }

  private boolean isNewer(LoadReport report, LoadReport than, long nowNanos, long expiryNanos) {
    long lead = report.takenNanos() - than.takenNanos();
    if (report.incarnation().equals(than.incarnation())) {
      return lead > 0;
    }
    boolean currentIsQuiet = nowNanos - than.takenNanos() >= expiryNanos;
    if (superseded.contains(report.incarnation()) && !currentIsQuiet) {
      return false;
    }
    return lead > RELAY_SKEW_NANOS;
  }

  private void adopt(LoadReport report, boolean here) {
    Incarnation previous = incarnation();
    if (previous != null && !previous.equals(report.incarnation())) {
      superseded.remove(report.incarnation());
      superseded.addLast(previous);
      if (superseded.size() > MAX_SUPERSEDED) {
        superseded.removeFirst();
      }
    }
    current = report;
    polledHere = here;
  }
}
