package org.amaranthstream.membership;

import org.amaranthstream.ids.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * Latest load report of one backend server, from local polls and from reports that peers relay.
 *
 * <p>A relayed report may appear younger than it is by at most the relay skew. Therefore a relayed
 * report of another incarnation replaces the current one only if it is newer by more than the skew,
 * and a local poll replaces it unless it is older by more than the skew.
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

  /** Returns the latest report, null if there is none. */
  @Nullable LoadReport current() {
    return current;
  }

  /** Returns the incarnation in the latest report, null if there is none. */
  @Nullable Incarnation incarnation() {
    return current == null ? null : current.incarnation();
  }

  /** Returns true if the latest report comes from a local poll. */
  boolean isPolledLocally() {
    return polledLocally;
  }

  /** Applies a report that the local daemon polled. */
  void onPolled(LoadReport report) {
    if (current == null || leadNanos(report, current) >= -skewNanos) {
      current = report;
      polledLocally = true;
    }
  }

  /** Applies a report that a peer relayed. */
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
