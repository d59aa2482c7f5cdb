package org.amaranthstream.weights;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.config.OperatorConfig;
import org.amaranthstream.config.Pool;
import org.amaranthstream.config.PoolKind;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.ZoneView;
import org.amaranthstream.platform.FaultyKeyValueStore;
import org.amaranthstream.platform.FaultyKeyValueStore.Fault;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.VirtualTimerService;

/**
 * Simulation of two controllers of one pool and its engines. The test decides when a controller
 * ticks and when an order is written or delivered.
 */
final class ControllerSimulation {
  static final int CONTROLLERS = 2;
  private static final PoolId POOL = PoolId.of("coders");
  private static final ModelId MODEL = ModelId.of("coder");
  private static final OperatorConfig CONFIG =
      new OperatorConfig(
          ConfigGeneration.of(1),
          ImmutableMap.of(),
          ImmutableMap.of(POOL, new Pool(POOL, PoolKind.MODEL_ENGINE, Optional.of(MODEL), false)));

  final VirtualTimerService timers = VirtualTimerService.create();
  final FaultyKeyValueStore store = FaultyKeyValueStore.create(timers::nowNanos);
  final List<FakeEngine> engines =
      List.of(new FakeEngine("checking", true), new FakeEngine("ignoring", false));
  private final List<WeightRegistry> registries = new ArrayList<>();
  private final List<ZoneController> controllers = new ArrayList<>();
  private final List<PendingOrder> unwritten = new ArrayList<>();
  private final List<PendingOrder> inNetwork = new ArrayList<>();
  private final boolean networkDelays;
  private long newest;

  ControllerSimulation(boolean networkDelays) {
    this.networkDelays = networkDelays;
    for (int i = 0; i < CONTROLLERS; i++) {
      WeightRegistry registry =
          WeightRegistry.create(
              FaultyKeyValueStore.create(),
              model -> CompletableFuture.completedFuture(Result.success(Optional.empty())),
              () -> ImmutableSet.of(MODEL));
      registries.add(registry);
      controllers.add(controller(i, registry));
    }
  }

  private ZoneController controller(int index, WeightRegistry registry) {
    return ZoneController.builder()
        .scope(AvailabilityZoneId.of("lisboa-a"), POOL)
        .holder("vm-" + index)
        .config(() -> CONFIG)
        .store(store)
        .duty(
            task -> {
              task.run();
              return true;
            })
        .timers(timers)
        .directory(new Directory())
        .registry(registry)
        .engineClient((order, consumer) -> unwritten.add(new PendingOrder(order, consumer)))
        .build();
  }

  void announceNewVersion(int controller) {
    newest++;
    observeNewest(controller);
  }

  /**
   * Merges the newest version into the registry of one controller; the other may still have an
   * older one.
   */
  void observeNewest(int controller) {
    registries.get(controller).merge(MODEL, WeightVersion.of(newest));
  }

  void tick(int controller) {
    controllers.get(controller).tick();
  }

  /** Writes one of the orders that wait for an open connection. */
  void writeOrder(int index) {
    if (unwritten.isEmpty()) {
      return;
    }
    PendingOrder pending = unwritten.remove(index % unwritten.size());
    if (!pending.order.mayWrite().getAsBoolean()) {
      pending.consumer.accept(new LoadReply.Withheld());
    } else if (networkDelays) {
      inNetwork.add(pending);
    } else {
      deliver(pending);
    }
  }

  void deliverOrder(int index) {
    if (!inNetwork.isEmpty()) {
      deliver(inNetwork.remove(index % inNetwork.size()));
    }
  }

  private void deliver(PendingOrder pending) {
    FakeEngine engine = engines.get(pending.order.server().id().value().equals("checking") ? 0 : 1);
    pending.consumer.accept(engine.onOrder(pending.order));
  }

  /**
   * Ends all faults, runs both controllers for 120 s and checks that all engines have the newest
   * version.
   */
  void recoverAndCheckVersions() {
    store.setFault(Fault.NONE);
    store.setStaleReads(false);
    store.completeHeldCalls();
    engines.forEach(engine -> engine.setFailing(false));
    for (int round = 0; round < 120; round++) {
      timers.advance(Duration.ofSeconds(1));
      engines.forEach(FakeEngine::report);
      for (int controller = 0; controller < CONTROLLERS; controller++) {
        observeNewest(controller);
        tick(controller);
      }
      for (int i = 0; i < 4; i++) {
        writeOrder(0);
        deliverOrder(0);
      }
    }
    for (FakeEngine engine : engines) {
      assertWithMessage("version of %s", engine.server.id())
          .that(engine.version())
          .isEqualTo(WeightVersion.of(newest));
    }
  }

  private record PendingOrder(LoadOrder order, Consumer<LoadReply> consumer) {}

  private final class Directory implements BackendDirectory {
    @Override
    public ImmutableList<BackendView> local(PoolId pool) {
      return engines.stream()
          .map(engine -> engine.view(timers.nowNanos()))
          .collect(ImmutableList.toImmutableList());
    }

    @Override
    public ImmutableList<ZoneView> remote(PoolId pool) {
      return ImmutableList.of();
    }
  }
}
