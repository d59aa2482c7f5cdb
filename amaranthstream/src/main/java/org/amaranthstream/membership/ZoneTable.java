package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import java.util.TreeMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;

/**
 * Table of the latest aggregate of each pool in each other availability zone.
 *
 * <p>Not thread safe.
 */
final class ZoneTable {
  private static final int MAX_AGGREGATES = 4096;

  private final AvailabilityZoneId localZone;
  private final long expiryNanos;
  private final TreeMap<AvailabilityZoneId, TreeMap<PoolId, Row>> zones = new TreeMap<>();
  private int size;

  ZoneTable(AvailabilityZoneId localZone, MembershipSettings settings) {
    this.localZone = localZone;
    this.expiryNanos = settings.aggregateExpiry().toNanos();
  }

  /** Applies an aggregate; {@code direct} is true if an entry VM of that zone sent it. */
  void onAggregate(PoolZoneView aggregate, boolean direct) {
    ZoneView view = aggregate.view();
    if (view.zone().equals(localZone)) {
      return;
    }
    TreeMap<PoolId, Row> pools = zones.computeIfAbsent(view.zone(), unused -> new TreeMap<>());
    Row known = pools.get(aggregate.pool());
    if (known == null && size >= MAX_AGGREGATES) {
      return;
    }
    if (known != null && known.view.takenNanos() >= view.takenNanos()) {
      return;
    }
    size += known == null ? 1 : 0;
    pools.put(aggregate.pool(), new Row(view, direct));
  }

  /** Removes expired aggregates. */
  void tick(long nowNanos) {
    for (TreeMap<PoolId, Row> pools : zones.values()) {
      int before = pools.size();
      pools.values().removeIf(row -> isExpired(row.view, nowNanos));
      size -= before - pools.size();
    }
    zones.values().removeIf(TreeMap::isEmpty);
  }

  private boolean isExpired(ZoneView view, long nowNanos) {
    return nowNanos - view.takenNanos() >= expiryNanos;
  }

  /** Returns the unexpired aggregates of {@code pool} in zones that have servers of it. */
  ImmutableList<ZoneView> views(PoolId pool, long nowNanos) {
    ImmutableList.Builder<ZoneView> builder = ImmutableList.builder();
    for (TreeMap<PoolId, Row> pools : zones.values()) {
      Row row = pools.get(pool);
      if (row != null && row.view.servers() > 0 && !isExpired(row.view, nowNanos)) {
        builder.add(row.view);
      }
    }
    return builder.build();
  }

  /** Returns the unexpired aggregates that an entry VM of their zone sent. */
  ImmutableList<PoolZoneView> direct(long nowNanos) {
    return aggregates(nowNanos, true);
  }

  /** Returns all unexpired aggregates. */
  ImmutableList<PoolZoneView> all(long nowNanos) {
    return aggregates(nowNanos, false);
  }

  private ImmutableList<PoolZoneView> aggregates(long nowNanos, boolean onlyDirect) {
    ImmutableList.Builder<PoolZoneView> builder = ImmutableList.builder();
    for (TreeMap<PoolId, Row> pools : zones.values()) {
      pools.forEach(
          (pool, row) -> {
            if ((row.direct || !onlyDirect) && !isExpired(row.view, nowNanos)) {
              builder.add(new PoolZoneView(pool, row.view));
            }
          });
    }
    return builder.build();
  }

  private record Row(ZoneView view, boolean direct) {}
}
