package org.amaranthstream.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.membership.ZoneView;

/** Directory whose servers and zones are set by the test. */
final class FakeDirectory implements BackendDirectory {
  static final PoolId POOL = PoolId.of("coding");
  static final RegionId REGION = RegionId.of("lisboa");
  static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("lisboa-a");

  private final Map<BackendServerId, BackendView> views = new LinkedHashMap<>();
  private ImmutableList<ZoneView> zones = ImmutableList.of();

  void add(String name, int slots, long version) {
    BackendServerId id = BackendServerId.of(name);
    BackendServer server = new BackendServer(id, POOL, REGION, ZONE, "127.0.0.1", 80);
    LoadReport report =
        new LoadReport(
            Incarnation.of(name + ".0"),
            Optional.of(WeightVersion.of(version)),
            0,
            0,
            slots,
            false,
            0);
    views.put(id, new BackendView(server, Optional.of(report), false));
  }

  void leave(String name) {
    BackendView old = view(name);
    views.put(old.server().id(), new BackendView(old.server(), old.report(), true));
  }

  void report(String name, String incarnation, long version, int running, long takenNanos) {
    BackendView old = view(name);
    LoadReport was = old.report().orElseThrow();
    LoadReport report =
        new LoadReport(
            Incarnation.of(incarnation),
            Optional.of(WeightVersion.of(version)),
            running,
            0,
            was.slots(),
            false,
            takenNanos);
    views.put(old.server().id(), new BackendView(old.server(), Optional.of(report), old.leaving()));
  }

  void zones(ZoneView... all) {
    zones = ImmutableList.copyOf(all);
  }

  BackendView view(String name) {
    return views.get(BackendServerId.of(name));
  }

  Incarnation incarnation(String name) {
    return view(name).report().orElseThrow().incarnation();
  }

  @Override
  public ImmutableList<BackendView> local(PoolId pool) {
    return pool.equals(POOL) ? ImmutableList.copyOf(views.values()) : ImmutableList.of();
  }

  @Override
  public ImmutableList<ZoneView> remote(PoolId pool) {
    return pool.equals(POOL) ? zones : ImmutableList.of();
  }
}
