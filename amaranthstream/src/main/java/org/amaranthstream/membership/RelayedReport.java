package org.amaranthstream.membership;

import java.time.Duration;
import org.amaranthstream.ids.BackendServerId;

/**
 * A load report that one daemon polled and relays to its peers.
 *
 * @param server the server that reported
 * @param report the report; its time is that of the local monotonic clock
 */
public record RelayedReport(BackendServerId server, LoadReport report) {
  /** Returns the age of the report at {@code nowNanos}. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(Math.max(0, nowNanos - report.takenNanos()));
  }
}
