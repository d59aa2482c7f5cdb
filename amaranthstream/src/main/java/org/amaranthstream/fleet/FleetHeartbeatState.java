package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.LeavingServer;
import org.amaranthstream.peer.HeartbeatSink;
import org.amaranthstream.peer.HeartbeatSource;
import org.amaranthstream.quarantine.PoisonNotice;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.weights.AnnouncedVersions;

/**
 * The state that daemons exchange in heartbeats: the version of the active configuration, the
 * newest weight version of each model, and the content that backend servers crashed under.
 *
 * <p>Not thread safe: used on one thread.
 */
public final class FleetHeartbeatState implements HeartbeatSource, HeartbeatSink {
  private final RoutingTable routing;
  private final AnnouncedVersions versions;
  private final ServerDirectory directory;
  private final PoisonRegistry poison;
  private final TimerService timers;
  private final Runnable onOutdated;

  private FleetHeartbeatState(
      RoutingTable routing,
      AnnouncedVersions versions,
      ServerDirectory directory,
      PoisonRegistry poison,
      TimerService timers,
      Runnable onOutdated) {
    this.routing = routing;
    this.versions = versions;
    this.directory = directory;
    this.poison = poison;
    this.timers = timers;
    this.onOutdated = onOutdated;
  }

  /**
   * Returns the heartbeat state of this daemon.
   *
   * @param poison the content that servers crashed under
   * @param onOutdated called when a peer has a newer configuration; reads it from the store
   */
  public static FleetHeartbeatState create(
      RoutingTable routing,
      AnnouncedVersions versions,
      ServerDirectory directory,
      PoisonRegistry poison,
      TimerService timers,
      Runnable onOutdated) {
    return new FleetHeartbeatState(
        checkNotNull(routing, "routing"),
        checkNotNull(versions, "versions"),
        checkNotNull(directory, "directory"),
        checkNotNull(poison, "poison"),
        checkNotNull(timers, "timers"),
        checkNotNull(onOutdated, "onOutdated"));
  }

  private long configVersion() {
    return routing.current().map(RoutingConfig::version).orElse(0L);
  }

  @Override
  public ConfigGeneration configGeneration() {
    return ConfigGeneration.of(configVersion());
  }

  @Override
  public ImmutableMap<ModelId, WeightVersion> weightVersions() {
    return versions.newest();
  }

  @Override
  public ImmutableList<PoisonNotice> poisonNotices() {
    return poison.export(timers.nowNanos());
  }

  @Override
  public ImmutableMap<PoolId, Integer> waitingRequests() {
    return ImmutableMap.of();
  }

  @Override
  public void onConfigGeneration(EntryVmId from, ConfigGeneration generation) {
    if (generation.value() > configVersion()) {
      onOutdated.run();
    }
  }

  @Override
  public void onWeightVersion(ModelId model, WeightVersion version) {
    versions.recordIfNewer(model, version);
  }

  /** The incarnation in a report is the start time of the server, in Unix milliseconds. */
  @Override
  public void onLeavingServer(LeavingServer leaving) {
    Long startMillis = Longs.tryParse(leaving.incarnation().value());
    if (startMillis != null) {
      directory.onLeavingReported(leaving.server(), startMillis);
    }
  }

  @Override
  public void onPoisonNotice(PoisonNotice notice) {
    poison.merge(notice, timers.nowNanos());
  }
}
