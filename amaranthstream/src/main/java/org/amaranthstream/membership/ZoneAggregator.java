package org.amaranthstream.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;

/**
 * Aggregator of the load of one pool in the local zone. It counts the servers that are not leaving
 * and have an unexpired load report.
 */
final class ZoneAggregator {
  private final LocalVm self;
  private final long expiryNanos;
  private final long nowNanos;

  ZoneAggregator(LocalVm self, Duration reportExpiry, long nowNanos) {
    this.self = self;
    this.expiryNanos = reportExpiry.toNanos();
    this.nowNanos = nowNanos;
  }

  /** Returns the aggregate of {@code servers}; {@code waiting} requests are queued in entry VMs. */
  ZoneView aggregate(Collection<BackendView> servers, int waiting) {
    List<LoadReport> reports =
        servers.stream()
            .filter(server -> !server.leaving())
            .flatMap(server -> server.report().stream())
            .filter(report -> nowNanos - report.takenNanos() < expiryNanos)
            .toList();
    Optional<WeightVersion> oldestVersion =
        reports.stream()
            .flatMap(report -> report.version().stream())
            .min(Comparator.naturalOrder());
    long oldestTakenNanos =
        reports.stream().mapToLong(LoadReport::takenNanos).min().orElse(nowNanos);
    return new ZoneView(
        self.zone(),
        self.region(),
        reports.size(),
        reports.stream().mapToInt(LoadReport::running).sum(),
        waiting + reports.stream().mapToInt(LoadReport::queued).sum(),
        reports.stream().mapToInt(LoadReport::slots).sum(),
        oldestVersion,
        oldestTakenNanos);
  }
}
