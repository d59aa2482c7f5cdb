package org.amaranthstream.membership;

import java.time.Duration;
import org.amaranthstream.ids.BackendServerId;

/**
 * A load report that a peer polled and passed on.
 *
 * @param server the server that reported
 * @param report the report; its time of validity is on this process's clock
 */
public record RelayedReport(BackendServerId server, LoadReport report) {
  /** Returns how old the report is at {@code nowNanos}. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(Math.max(0, nowNanos - report.takenNanos()));
  }
}
