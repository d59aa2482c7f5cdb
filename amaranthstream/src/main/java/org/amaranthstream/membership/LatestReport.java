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
final class LatestReport {
  private final long skewNanos;
  private @Nullable LoadReport current;
  private boolean polledLocally;

  LatestReport(MembershipSettings settings) {
    this.skewNanos = settings.relaySkew().toNanos();
  }

  @Nullable LoadReport current() {
    return current;
  }

  @Nullable Incarnation incarnation() {
    return current == null ? null : current.incarnation();
  }

  /** Returns true if the newest report is an own poll. */
  boolean isPolledLocally() {
    return polledLocally;
  }

  void onPolled(LoadReport report) {
    if (current == null || leadNanos(report, current) >= -skewNanos) {
      current = report;
      polledLocally = true;
    }
  }

  void onRelayed(LoadReport report) {
    if (current == null || leadNanos(report, current) > requiredLeadNanos(report, current)) {
      current = report;
      polledLocally = false;
    }
  }

  private long requiredLeadNanos(LoadReport report, LoadReport other) {
    return report.incarnation().equals(other.incarnation()) ? 0 : skewNanos;
  }

  private static long leadNanos(LoadReport report, LoadReport other) {
    return report.takenNanos() - other.takenNanos();
  }
}
