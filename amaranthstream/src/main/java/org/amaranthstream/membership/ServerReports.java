package org.amaranthstream.membership;

import org.amaranthstream.ids.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * The newest load report of one backend server, among own polls and reports that peers passed on.
 *
 * <p>A passed-on report looks younger than it is by at most the relay skew. So another incarnation
 * is believed only if its report is newer by more than that.
 *
 * <p>Not thread safe.
 */
final class ServerReports {
  private final long skewNanos;
  private @Nullable LoadReport current;
  private boolean polledHere;

  ServerReports(MembershipSettings settings) {
    this.skewNanos = settings.relaySkew().toNanos();
  }

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
    if (current == null || lead(report, current) >= -skewNanos) {
      current = report;
      polledHere = true;
    }
  }

  void onRelayed(LoadReport report) {
    if (current == null || lead(report, current) > requiredLead(report, current)) {
      current = report;
      polledHere = false;
    }
  }

  private long requiredLead(LoadReport report, LoadReport than) {
    return report.incarnation().equals(than.incarnation()) ? 0 : skewNanos;
  }

  private static long lead(LoadReport report, LoadReport than) {
    return report.takenNanos() - than.takenNanos();
  }
}
