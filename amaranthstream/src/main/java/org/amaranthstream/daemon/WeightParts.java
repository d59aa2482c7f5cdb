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
 * Weight versions, and one controller for each pool of model engines in the own availability zone.
 * The controllers are confined to the decision thread.
 */
final class WeightParts implements VersionSource, VersionSink, AutoCloseable {
  private static final int COMPETITORS = 2;

  private final Threads threads;
  private final LocalVm self;
  private final MembershipTable table;
  private final ConfigManager config;
  private final KeyValueStore store;
  private final WeightRegistry registry;
  private final HttpEngineClient control;
  private final Map<PoolId, ZoneController> controllers = new HashMap<>();

  WeightParts(
      Threads threads,
      LocalVm self,
      MembershipTable table,
      ConfigManager config,
      KeyValueStore store) {
    this.threads = threads;
    this.self = self;
    this.table = table;
    this.config = config;
    this.store = store;
    this.registry = WeightRegistry.create(store, WeightParts::noStore, this::models);
    this.control = HttpEngineClient.create(threads.vertx(), threads.decisions());
  }

  /** Starts to follow versions, and controllers as the configuration names pools. */
  void start() {
    config.addListener(applied -> threads.decisions().offer(() -> update(applied)));
    threads.platform().offer(() -> registry.start(threads.platformTimers()));
  }

  /** Trainers announce their versions to the daemons, so no weight store is asked. */
  private static CompletableFuture<Result<Optional<WeightVersion>>> noStore(ModelId model) {
    return CompletableFuture.completedFuture(Result.success(Optional.empty()));
  }

  private Set<ModelId> models() {
    return config.current().pools().values().stream()
        .flatMap(pool -> pool.model().stream())
        .collect(toImmutableSet());
  }

  private void update(OperatorConfig applied) {
    ImmutableSet<PoolId> wanted =
        applied.pools().values().stream()
            .filter(pool -> pool.model().isPresent())
            .map(Pool::id)
            .collect(toImmutableSet());
    for (PoolId pool : wanted) {
      controllers.computeIfAbsent(pool, this::startController);
    }
    List<PoolId> unwanted = new ArrayList<>(controllers.keySet());
    unwanted.removeAll(wanted);
    unwanted.forEach(pool -> controllers.remove(pool).stop());
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
            .engineClient(control)
            .mayCompete(() -> isCompetitor(pool))
            .build();
    controller.start();
    return controller;
  }

  /** Few entry VMs of the zone compete for a lease, so that the others make no calls for it. */
  private boolean isCompetitor(PoolId pool) {
    List<EntryVmId> order = RendezvousHash.order(pool.value(), table.zoneMembers());
    int rank = order.indexOf(self.id());
    return rank >= 0 && rank < COMPETITORS;
  }

  WeightRegistry registry() {
    return registry;
  }

  /** Returns the state of the controllers; decision thread. */
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

  /** Stops the controllers; decision thread. */
  void stopControllers() {
    controllers.values().forEach(ZoneController::stop);
    controllers.clear();
  }

  @Override
  public void close() {
    control.close();
  }
}
