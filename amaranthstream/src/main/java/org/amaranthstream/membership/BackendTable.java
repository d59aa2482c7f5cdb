package org.amaranthstream.membership;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.platform.VmEntry;
import org.jspecify.annotations.Nullable;

/**
 * Table of the backend servers in the local availability zone, with their load reports and whether
 * they are leaving.
 *
 * <p>Not thread safe.
 */
final class BackendTable {
  private static final int MAX_TRACKED_SERVERS = 4096;

  private final AvailabilityZoneId zone;
  private final MembershipSettings settings;
  private final long reportExpiryNanos;
  private final long retentionNanos;
  private final TreeMap<BackendServerId, Row> rows = new TreeMap<>();
  private final Map<BackendServerId, LeavingTracker> leavingTrackers = new HashMap<>();
  private @Nullable ImmutableListMultimap<PoolId, BackendView> views;

  BackendTable(AvailabilityZoneId zone, MembershipSettings settings) {
    this.zone = zone;
    this.settings = settings;
    this.reportExpiryNanos = settings.reportExpiry().toNanos();
    this.retentionNanos = settings.leavingRetention().toNanos();
  }

  /** Applies the backend servers of one read of the VM list. */
  void onList(Collection<VmEntry> servers, long nowNanos) {
    Map<BackendServerId, VmEntry> listed = new HashMap<>();
    for (VmEntry entry : servers) {
      if (entry.zone().equals(zone) && entry.pool().isPresent()) {
        listed.put(BackendServerId.of(entry.name()), entry);
      }
    }
    removeUnlisted(listed);
    listed.forEach((id, entry) -> putListed(id, entry, nowNanos));
    views = null;
  }

  private void removeUnlisted(Map<BackendServerId, VmEntry> listed) {
    rows.keySet().removeIf(id -> !listed.containsKey(id));
    leavingTrackers.forEach(
        (id, tracker) -> {
          if (!listed.containsKey(id)) {
            tracker.onUnlisted();
          }
        });
  }

  private void putListed(BackendServerId id, VmEntry entry, long nowNanos) {
    BackendServer server =
        new BackendServer(
            id,
            entry.pool().orElseThrow(),
            entry.region(),
            entry.zone(),
            entry.host(),
            entry.port());
    Row row = rows.computeIfAbsent(id, unused -> new Row(settings, nowNanos));
    row.server = server;
    trackerOf(id, nowNanos).onListed(entry.leaving(), row.latestReport.incarnation(), nowNanos);
  }

  /** Applies a load report that the local daemon polled. */
  void onPolled(BackendServerId id, LoadReport report, long nowNanos) {
    Row row = rows.get(id);
    if (row != null) {
      recordDraining(id, report, nowNanos);
      row.latestReport.onPolled(report);
    }
  }

  /** Applies a load report that a peer polled and relayed. */
  void onRelayed(BackendServerId id, LoadReport report, long nowNanos) {
    Row row = rows.get(id);
    if (row != null) {
      recordDraining(id, report, nowNanos);
      row.latestReport.onRelayed(report);
    }
  }

  /** Records the server as leaving if its report says that it is draining. */
  private void recordDraining(BackendServerId id, LoadReport report, long nowNanos) {
    if (report.draining()) {
      trackerOf(id, nowNanos).add(report.incarnation(), report.takenNanos());
    }
    views = null;
  }

  /** Records a notice from the server or a peer that an incarnation is leaving. */
  void onLeaving(LeavingServer leaving, long nowNanos) {
    if (leavingTrackers.containsKey(leaving.server())
        || leavingTrackers.size() < MAX_TRACKED_SERVERS) {
      trackerOf(leaving.server(), nowNanos).add(leaving.incarnation(), nowNanos);
      views = null;
    }
  }

  private LeavingTracker trackerOf(BackendServerId id, long nowNanos) {
    return leavingTrackers.computeIfAbsent(id, unused -> new LeavingTracker(settings, nowNanos));
  }

  /** Removes expired leaving state and the cached views. */
  void tick(long nowNanos) {
    leavingTrackers.values().removeIf(tracker -> tracker.isExpired(nowNanos, retentionNanos));
    views = null;
  }

  ImmutableList<BackendView> views(PoolId pool, long nowNanos) {
    if (views == null) {
      views = buildViews(nowNanos);
    }
    return views.get(pool);
  }

  ImmutableListMultimap<PoolId, BackendView> views(long nowNanos) {
    if (views == null) {
      views = buildViews(nowNanos);
    }
    return views;
  }

  private ImmutableListMultimap<PoolId, BackendView> buildViews(long nowNanos) {
    ImmutableListMultimap.Builder<PoolId, BackendView> builder = ImmutableListMultimap.builder();
    rows.forEach(
        (id, row) -> {
          LoadReport report = row.latestReport.current();
          boolean leaving = trackerOf(id, nowNanos).isLeaving(report, nowNanos);
          builder.put(
              row.server.pool(), new BackendView(row.server, Optional.ofNullable(report), leaving));
        });
    return builder.build();
  }

  ImmutableList<BackendServer> servers() {
    return rows.values().stream().map(row -> row.server).collect(toImmutableList());
  }

  /** Returns the age of the latest report, or the time since the server was first listed. */
  Duration reportAge(BackendServerId id, long nowNanos) {
    Row row = rows.get(id);
    LoadReport report = row.latestReport.current();
    long since = report == null ? row.knownSinceNanos : report.takenNanos();
    return Duration.ofNanos(Math.max(0, nowNanos - since));
  }

  /** Returns the unexpired reports that the local daemon polled. */
  ImmutableList<RelayedReport> polledReports(long nowNanos) {
    ImmutableList.Builder<RelayedReport> builder = ImmutableList.builder();
    rows.forEach(
        (id, row) -> {
          LoadReport report = row.latestReport.current();
          if (report != null
              && row.latestReport.isPolledLocally()
              && nowNanos - report.takenNanos() < reportExpiryNanos) {
            builder.add(new RelayedReport(id, report));
          }
        });
    return builder.build();
  }

  /**
   * Returns the servers whose latest reported incarnation is leaving. A notice that no load report
   * in this table confirms is not relayed; otherwise two daemons would keep relaying an outdated
   * notice to each other.
   */
  ImmutableList<LeavingServer> leaving() {
    ImmutableList.Builder<LeavingServer> builder = ImmutableList.builder();
    rows.forEach(
        (id, row) -> {
          Incarnation current = row.latestReport.incarnation();
          LeavingTracker tracker = leavingTrackers.get(id);
          if (current != null && tracker != null && tracker.contains(current)) {
            builder.add(new LeavingServer(id, current));
          }
        });
    return builder.build();
  }

  private static final class Row {
    private final long knownSinceNanos;
    private final LatestReport latestReport;
    private BackendServer server;

    private Row(MembershipSettings settings, long knownSinceNanos) {
      this.latestReport = new LatestReport(settings);
      this.knownSinceNanos = knownSinceNanos;
    }
  }
}
