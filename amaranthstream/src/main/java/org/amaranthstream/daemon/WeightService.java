package org.amaranthstream.daemon;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.config.OperatorConfig;
import org.amaranthstream.config.Pool;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ingress.VersionSink;
import org.amaranthstream.ingress.VersionSource;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.RendezvousHash;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.weights.HttpEngineClient;
import org.amaranthstream.weights.WeightRegistry;
import org.amaranthstream.weights.ZoneController;
import org.amaranthstream.weights.ZoneControllerDescription;

/**
 * A service that tracks announced weight versions and runs one controller for each pool of model
 * engines in the local availability zone. The controllers are confined to the decision thread.
 */
final class WeightService implements VersionSource, VersionSink, AutoCloseable {
  private static final int MAX_LEASE_CANDIDATES = 2;

  private final Threads threads;
  private final LocalVm self;
  private final MembershipTable table;
  private final ConfigManager config;
  private final KeyValueStore store;
  private final WeightRegistry registry;
  private final HttpEngineClient engineClient;
  private final Map<PoolId, ZoneController> controllers = new HashMap<>();

  WeightService(
      Threads threads,
      FramedHttpClients clients,
      LocalVm self,
      MembershipTable table,
      ConfigManager config,
      KeyValueStore store) {
    this.threads = threads;
    this.self = self;
    this.table = table;
    this.config = config;
    this.store = store;
    this.registry = WeightRegistry.create(store, WeightService::noStoredVersion, this::models);
    this.engineClient = HttpEngineClient.create(clients, threads.decisions());
  }

  /** Starts to poll versions, and starts and stops controllers as the configured pools change. */
  void start() {
    config.addListener(applied -> threads.decisions().offer(() -> updateControllers(applied)));
    threads.platform().offer(() -> registry.start(threads.platformTimers()));
  }

  /**
   * Returns no version: trainers announce versions to the daemons, so no weight store is polled.
   */
  private static CompletableFuture<Result<Optional<WeightVersion>>> noStoredVersion(ModelId model) {
    return CompletableFuture.completedFuture(Result.success(Optional.empty()));
  }

  private Set<ModelId> models() {
    return config.current().pools().values().stream()
        .flatMap(pool -> pool.model().stream())
        .collect(toImmutableSet());
  }

  private void updateControllers(OperatorConfig applied) {
    ImmutableSet<PoolId> configured =
        applied.pools().values().stream()
            .filter(pool -> pool.model().isPresent())
            .map(Pool::id)
            .collect(toImmutableSet());
    for (PoolId pool : configured) {
      controllers.computeIfAbsent(pool, this::startController);
    }
    List<PoolId> removed = new ArrayList<>(controllers.keySet());
    removed.removeAll(configured);
    removed.forEach(pool -> controllers.remove(pool).stop());
  }

  private ZoneController startController(PoolId pool) {
    ZoneController controller =
        ZoneController.builder()
            .scope(self.zone(), pool)
            .holder(self.id() + "/" + self.incarnation())
            .config(config::current)
            .store(store)
            .duty(threads.decisions())
            .timers(threads.decisionTimers())
            .directory(table)
            .registry(registry)
            .engineClient(engineClient)
            .mayCompete(() -> isLeaseCandidate(pool))
            .build();
    controller.start();
    return controller;
  }

  /**
   * Returns true if this entry VM may compete for the lease of {@code pool}. Only a few of a zone
   * may, so that the others make no calls for it.
   */
  private boolean isLeaseCandidate(PoolId pool) {
    List<EntryVmId> order = RendezvousHash.order(pool.value(), table.zoneMembers());
    int rank = order.indexOf(self.id());
    return rank >= 0 && rank < MAX_LEASE_CANDIDATES;
  }

  WeightRegistry registry() {
    return registry;
  }

  /** Returns the state of the controllers. Called on the decision thread. */
  List<ZoneControllerDescription> describe() {
    return controllers.values().stream().map(ZoneController::describe).toList();
  }

  @Override
  public Optional<WeightVersion> newest(ModelId model) {
    return registry.newest(model);
  }

  @Override
  public void announce(
      ModelId model, WeightVersion version, Consumer<Result<WeightVersion>> consumer) {
    consumer.accept(Result.success(registry.announce(model, version)));
  }

  /** Stops the controllers. Called on the decision thread. */
  void stopControllers() {
    controllers.values().forEach(ZoneController::stop);
    controllers.clear();
  }

  @Override
  public void close() {
    engineClient.close();
  }
}
