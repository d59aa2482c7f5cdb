package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import java.util.TreeMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;

/**
 * Aggregates of the other availability zones; the newest of each zone and pool counts.
 *
 * <p>Not thread safe.
 */
final class ZoneTable {
  private static final int MAX_AGGREGATES = 4096;

  private final AvailabilityZoneId ownZone;
  private final long expiryNanos;
  private final TreeMap<AvailabilityZoneId, TreeMap<PoolId, Row>> zones = new TreeMap<>();
  private int size;

  ZoneTable(AvailabilityZoneId ownZone, MembershipSettings settings) {
    this.ownZone = ownZone;
    this.expiryNanos = settings.aggregateExpiry().toNanos();
  }

  /** Takes an aggregate; {@code direct} is true if it came from an entry VM of that zone. */
  void onAggregate(PoolZoneView aggregate, boolean direct) {
    ZoneView view = aggregate.view();
    if (view.zone().equals(ownZone)) {
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

  /** Returns the aggregates that came straight from an entry VM of their zone. */
  ImmutableList<PoolZoneView> direct(long nowNanos) {
    return aggregates(nowNanos, true);
  }

  /** Returns all aggregates. */
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
