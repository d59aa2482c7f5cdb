package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.calls.CallService;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.peer.ExchangeListener;
import org.amaranthstream.peer.ExchangeResponder;
import org.amaranthstream.peer.PeerExchange;
import org.amaranthstream.peer.PeerExchanges;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ReachMonitor;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.time.VirtualTimerService;

/** Daemons in two zones that relay calls for each other, in virtual time. */
final class RelayingDaemons {
  private static final ServiceId SERVICE = ServiceId.of("portal");
  private static final long MEMORY_BYTES = 1_000;
  private static final Duration LINK_DELAY = Duration.ofMillis(2);

  private final VirtualTimerService timers;
  private final CuttableServers servers;
  private final SimulatedStore store;
  private final Map<EntryVmId, Daemon> daemons = new LinkedHashMap<>();
  private int exchanges;

  RelayingDaemons(VirtualTimerService timers, CuttableServers servers) {
    this.timers = timers;
    this.servers = servers;
    this.store = new SimulatedStore(timers);
    for (String vm : List.of("a1", "a2", "a3", "b1", "b2")) {
      daemons.put(EntryVmId.of(vm), new Daemon(vm));
    }
    timers.advance(Duration.ofSeconds(5));
  }

  static Route route(RouteKind kind) {
    return Route.builder()
        .id(RouteId.of("route-" + kind))
        .match("h", "/" + kind + "/")
        .kind(kind)
        .timeout(Duration.ofSeconds(4))
        .latencyObjective(Duration.ofMillis(150))
        .maxAttempts(2)
        .services(ImmutableList.of(new WeightedService(SERVICE, 1)))
        .build();
  }

  Daemon daemon(String vm) {
    return daemons.get(EntryVmId.of(vm));
  }

  List<String> names() {
    return daemons.keySet().stream().map(EntryVmId::value).toList();
  }

  /** Returns the number of exchanges that were started between daemons. */
  int exchanges() {
    return exchanges;
  }

  /** A daemon. */
  final class Daemon implements PeerExchanges {
    private final LocalVm local;
    private final RoutingTable routing = RoutingTable.create();
    private final MemoryBudget budget = MemoryBudget.of(timers, MEMORY_BYTES);
    private final CallService calls;
    private final RelayedCallHandler handler;
    private boolean isDraining;

    private Daemon(String vm) {
      AvailabilityZoneId zone = AvailabilityZoneId.of(vm.substring(0, 1));
      FleetNode self =
          new FleetNode(
              EntryVmId.of(vm), Incarnation.of("run"), "10.0.0.1", 7000, zone, RegionId.of("r"));
      local = new LocalVm(self.vm(), self.incarnation(), self.region(), zone);
      Fleet fleet = Fleet.create(store.client(), timers);
      FleetSession session =
          FleetSession.create(store.client(), timers, InstantSource.system(), self);
      ServerDirectory directory = ServerDirectory.create(timers);
      ReachMonitor reach = ReachMonitor.create(directory, servers.probeOf(vm), timers);
      FleetCallRelay relay =
          FleetCallRelay.create(
              self,
              fleet,
              () -> Optional.of(this),
              timers,
              () -> routing.current().map(RoutingConfig::version).orElse(0L));
      calls =
          CallService.builder()
              .servers(directory, ServerChoice.in(zone, unused -> Optional.empty()))
              .transport(servers.transportOf(vm))
              .timers(timers)
              .poison(PoisonRegistry.create(Duration.ofMinutes(10)))
              .permits((server, patience, listener) -> listener.accept(true))
              .relay(reach, relay)
              .build();
      handler = RelayedCallHandler.create(routing, reach, calls, () -> isDraining, budget);
      fleet.addListener(session);
      fleet.start();
      session.start(() -> {});
      configure(1);
      for (int i = 1; i <= 3; i++) {
        directory.onRegistration(registration("s" + i));
      }
    }

    private ServerRegistration registration(String id) {
      return new ServerRegistration(
          BackendServerId.of(id),
          1,
          SERVICE,
          SoftwareVersion.of("v1"),
          "10.0.0.9",
          8080,
          AvailabilityZoneId.of("a"),
          6,
          false,
          ImmutableMap.of());
    }

    void configure(long version) {
      routing.apply(
          RoutingConfig.of(
              version,
              List.of(
                  route(RouteKind.IDEMPOTENT),
                  route(RouteKind.NON_IDEMPOTENT),
                  route(RouteKind.STREAMING)),
              List.of(),
              RequestLimits.defaults()));
    }

    void drain() {
      isDraining = true;
    }

    CallService calls() {
      return calls;
    }

    MemoryBudget budget() {
      return budget;
    }

    @Override
    public boolean isReady(EntryVmId vm) {
      return true;
    }

    @Override
    public void prepare(EntryVmId vm) {}

    @Override
    public PeerExchange start(
        EntryVmId vm, byte[] request, Duration timeLeft, ExchangeListener listener) {
      exchanges++;
      SimulatedExchange exchange = new SimulatedExchange(listener);
      timers.after(
          LINK_DELAY, () -> exchange.begin(daemons.get(vm).handler, local, request, timeLeft));
      return exchange;
    }
  }

  /** Exchange between two daemons over a link with a delay. */
  private final class SimulatedExchange implements ExchangeResponder, PeerExchange {
    private final ExchangeListener listener;
    private final List<Runnable> cancellers = new ArrayList<>();
    private Runnable onResumed = () -> {};
    private boolean isCancelled;
    private boolean isPaused;

    private SimulatedExchange(ExchangeListener listener) {
      this.listener = listener;
    }

    private void begin(
        RelayedCallHandler handler, LocalVm from, byte[] request, Duration timeLeft) {
      if (!isCancelled) {
        cancellers.add(handler.onRequest(from, request, timeLeft, this));
      }
    }

    @Override
    public void setPaused(boolean shouldPause) {
      timers.after(
          LINK_DELAY,
          () -> {
            isPaused = shouldPause;
            if (!shouldPause) {
              onResumed.run();
            }
          });
    }

    @Override
    public boolean isPaused() {
      return isPaused;
    }

    @Override
    public void onResumed(Runnable task) {
      onResumed = task;
    }

    @Override
    public void cancel() {
      isCancelled = true;
      timers.after(LINK_DELAY, () -> cancellers.forEach(Runnable::run));
    }

    private void deliver(Runnable task) {
      timers.after(
          LINK_DELAY,
          () -> {
            if (!isCancelled) {
              task.run();
            }
          });
    }

    @Override
    public boolean sendPart(byte[] part) {
      deliver(() -> listener.onPart(part));
      return true;
    }

    @Override
    public void end() {
      deliver(listener::onEnd);
    }

    @Override
    public void fail(Outcome.NotRun outcome) {
      deliver(() -> listener.onNotRun(outcome));
    }

    @Override
    public void fail(Outcome.OutcomeUnknown outcome) {
      deliver(() -> listener.onOutcomeUnknown(outcome));
    }
  }
}
