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
 * The backend servers of the own availability zone: which exist, what they report and which leave.
 *
 * <p>Not thread safe.
 */
final class BackendTable {
  private static final int MAX_MARKED_SERVERS = 4096;

  private final AvailabilityZoneId zone;
  private final long listClearNanos;
  private final long reportExpiryNanos;
  private final long retentionNanos;
  private final TreeMap<BackendServerId, Row> rows = new TreeMap<>();
  private final Map<BackendServerId, LeavingMarks> marks = new HashMap<>();
  private @Nullable ImmutableListMultimap<PoolId, BackendView> views;

  BackendTable(AvailabilityZoneId zone, MembershipSettings settings) {
    this.zone = zone;
    this.listClearNanos = settings.listClearAfter().toNanos();
    this.reportExpiryNanos = settings.reportExpiry().toNanos();
    this.retentionNanos = settings.leavingRetention().toNanos();
  }

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
    marks.forEach(
        (id, mark) -> {
          if (!listed.containsKey(id)) {
            mark.onUnlisted();
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
    Row row = rows.computeIfAbsent(id, unused -> new Row(nowNanos));
    row.server = server;
    marksOf(id, nowNanos).onListed(entry.leaving(), row.reports.incarnation(), nowNanos);
  }

  void onPolled(BackendServerId id, LoadReport report, long nowNanos) {
    Row row = rows.get(id);
    if (row == null) {
      return;
    }
    Optional<Incarnation> before = Optional.ofNullable(row.reports.incarnation());
    row.reports.onPolled(report);
    onReport(id, report, before.isEmpty(), nowNanos);
  }

  void onRelayed(BackendServerId id, LoadReport report, long nowNanos) {
    Row row = rows.get(id);
    if (row == null) {
      return;
    }
    boolean first = row.reports.current() == null;
    row.reports.onRelayed(report, nowNanos, reportExpiryNanos);
    onReport(id, report, first, nowNanos);
  }

  private void onReport(BackendServerId id, LoadReport report, boolean first, long nowNanos) {
    LeavingMarks mark = marksOf(id, nowNanos);
    if (first) {
      mark.onFirstIncarnation(report.incarnation());
    }
    if (report.draining()) {
      mark.add(report.incarnation());
    }
    views = null;
  }

  void onLeaving(LeavingServer leaving, long nowNanos) {
    if (marks.containsKey(leaving.server()) || marks.size() < MAX_MARKED_SERVERS) {
      marksOf(leaving.server(), nowNanos).add(leaving.incarnation());
      views = null;
    }
  }

  private LeavingMarks marksOf(BackendServerId id, long nowNanos) {
    return marks.computeIfAbsent(id, unused -> new LeavingMarks(nowNanos));
  }

  void tick(long nowNanos) {
    marks.values().removeIf(mark -> mark.isExpired(nowNanos, retentionNanos));
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
          LoadReport report = row.reports.current();
          boolean leaving =
              marksOf(id, nowNanos).isLeaving(row.reports.incarnation(), nowNanos, listClearNanos);
          builder.put(
              row.server.pool(), new BackendView(row.server, Optional.ofNullable(report), leaving));
        });
    return builder.build();
  }

  ImmutableList<BackendServer> servers() {
    return rows.values().stream().map(row -> row.server).collect(toImmutableList());
  }

  /** Returns the age of the newest report, or the time since the server became known. */
  Duration reportAge(BackendServerId id, long nowNanos) {
    Row row = rows.get(id);
    LoadReport report = row.reports.current();
    long since = report == null ? row.knownSinceNanos : report.takenNanos();
    return Duration.ofNanos(Math.max(0, nowNanos - since));
  }

  /** Returns the unexpired reports that this process polled itself. */
  ImmutableList<RelayedReport> polledReports(long nowNanos) {
    ImmutableList.Builder<RelayedReport> builder = ImmutableList.builder();
    rows.forEach(
        (id, row) -> {
          LoadReport report = row.reports.current();
          if (report != null
              && row.reports.isPolledHere()
              && nowNanos - report.takenNanos() < reportExpiryNanos) {
            builder.add(new RelayedReport(id, report));
          }
        });
    return builder.build();
  }

  /** Returns the leaving incarnations of the servers that the list has. */
  ImmutableList<LeavingServer> leaving() {
    ImmutableList.Builder<LeavingServer> builder = ImmutableList.builder();
    for (BackendServerId id : rows.keySet()) {
      LeavingMarks mark = marks.get(id);
      if (mark != null) {
        mark.incarnations().forEach(leaving -> builder.add(new LeavingServer(id, leaving)));
      }
    }
    return builder.build();
  }

  private static final class Row {
    private final long knownSinceNanos;
    private final ServerReports reports = new ServerReports();
    private BackendServer server;

    private Row(long knownSinceNanos) {
      this.knownSinceNanos = knownSinceNanos;
    }
  }
}
