package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.dispatch.Dispatcher;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.peer.HeartbeatSink;
import org.amaranthstream.peer.HeartbeatSource;
import org.amaranthstream.quarantine.PoisonNotice;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.weights.WeightRegistry;
import org.jspecify.annotations.Nullable;

/**
 * An adapter between heartbeats and the components that own the state in them. Used on the decision
 * thread only.
 */
final class HeartbeatAdapter implements HeartbeatSource, HeartbeatSink {
  private final ConfigManager config;
  private final WeightRegistry weights;
  private final PeerConfigFetcher configFetcher;
  private final TimerService timers;
  private @Nullable Dispatcher dispatcher;

  HeartbeatAdapter(
      ConfigManager config,
      WeightRegistry weights,
      PeerConfigFetcher configFetcher,
      TimerService timers) {
    this.timers = timers;
    this.config = config;
    this.weights = weights;
    this.configFetcher = configFetcher;
  }

  /** Sets the dispatcher, whose poison registry is kept in sync with peers. */
  void attach(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  @Override
  public ConfigGeneration configGeneration() {
    return config.current().generation();
  }

  @Override
  public ImmutableMap<ModelId, WeightVersion> weightVersions() {
    return weights.all();
  }

  @Override
  public ImmutableList<PoisonNotice> poisonNotices() {
    return dispatcher == null
        ? ImmutableList.of()
        : dispatcher.poisonRegistry().export(timers.nowNanos());
  }

  @Override
  public ImmutableMap<PoolId, Integer> waitingRequests() {
    return ImmutableMap.of();
  }

  @Override
  public void onConfigGeneration(EntryVmId from, ConfigGeneration generation) {
    if (config.observePeerGeneration(generation)) {
      configFetcher.fetch(from);
    }
  }

  @Override
  public void onWeightVersion(ModelId model, WeightVersion version) {
    WeightVersion unused = weights.merge(model, version);
  }

  @Override
  public void onPoisonNotice(PoisonNotice notice) {
    if (dispatcher != null) {
      dispatcher.poisonRegistry().merge(notice, timers.nowNanos());
    }
  }
}
