package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.slots.SlotDemand;
import org.amaranthstream.slots.SlotLeases;
import org.amaranthstream.time.PausableTimerService;
import org.amaranthstream.time.VirtualTimerService;

/** Daemons that run items at the same engines, in virtual time, and a count of the rejections. */
final class SlotFleet {
  static final int SLOTS = 8;
  private static final ServiceId SERVICE = ServiceId.of("engine");
  private static final ModelId MODEL = ModelId.of("model");
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final Duration LINK_DELAY = Duration.ofMillis(8);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final Map<String, Daemon> daemons = new LinkedHashMap<>();
  private final Map<BackendServerId, Integer> running = new HashMap<>();
  private final Set<BackendServerId> loading = new HashSet<>();
  private final Random random = new Random(1);
  private final boolean areSlotsShared;
  private int arrivals;
  private int rejections;
  private int messages;

  SlotFleet(int daemons, int engines, boolean areSlotsShared) {
    this.areSlotsShared = areSlotsShared;
    for (int i = 0; i < engines; i++) {
      running.put(BackendServerId.of("engine" + i), 0);
    }
    for (int i = 0; i < daemons; i++) {
      start("vm" + i, "run" + i);
    }
    timers.advance(Duration.ofSeconds(5));
  }

  /** A daemon that owns jobs of one workspace. */
  final class Daemon {
    private final PausableTimerService clock = new PausableTimerService(timers);
    private final ServerDirectory directory = ServerDirectory.create(clock);
    private final FleetTestNode node;
    private final SlotCoordinator coordinator;
    private final SlotLeases leases;
    private String workspace = "light";
    private int waiting;
    private int runningItems;
    private int completed;
    private boolean isCut;
    private boolean isKilled;

    private Daemon(String vm, String incarnation) {
      node = new FleetTestNode(vm, incarnation, store, clock, timers);
      running.keySet().forEach(id -> directory.onRegistration(registration(id)));
      EntryVmId self = EntryVmId.of(vm);
      coordinator =
          SlotCoordinator.create(
              self,
              "weights",
              node.fleet(),
              directory,
              engine -> loading.contains(engine.id()) ? ImmutableSet.of(MODEL) : ImmutableSet.of(),
              clock);
      leases =
          areSlotsShared
              ? FleetSlotLeases.create(self, directory, clock, this::query, coordinator)
              : SlotLeases.UNSHARED;
      leases.setListener(this::startItems);
      node.start();
      clock.every(POLL_INTERVAL, this::startItems);
    }

    private CompletableFuture<Result<byte[]>> query(
        EntryVmId to, QueryKind kind, byte[] body, Duration timeout) {
      CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
      messages++;
      Daemon peer = daemons.get(to.value());
      timers.after(
          timeout,
          () -> answer.complete(Result.failure(ResultCode.OUTCOME_UNKNOWN_DEADLINE, "timeout")));
      if (!isCut && !peer.isCut) {
        EntryVmId self = node.self().vm();
        peer.clock.after(
            LINK_DELAY,
            () ->
                peer.coordinator
                    .handle(self, body)
                    .thenAccept(result -> clock.after(LINK_DELAY, () -> answer.complete(result))));
      }
      return answer;
    }

    /** Adds items of a workspace that wait. */
    void submit(String owner, int items) {
      workspace = owner;
      waiting += items;
      startItems();
    }

    private void startItems() {
      if (isKilled) {
        return;
      }
      for (TrackedServer server : directory.available(SERVICE)) {
        while (waiting > 0
            && server.inFlight() < SLOTS
            && !server.isAvoided(clock.nowNanos())
            && leases.mayStart(server)) {
          startItem(server);
        }
      }
      SlotDemand demand =
          new SlotDemand(
              workspace,
              1,
              ImmutableSet.of(SERVICE),
              MODEL,
              WeightVersion.of(1),
              runningItems,
              waiting,
              false);
      leases.setDemand(ImmutableList.of(demand));
    }

    private void startItem(TrackedServer server) {
      arrivals++;
      waiting--;
      server.onRequestSent();
      if (running.get(server.id()) >= SLOTS || loading.contains(server.id())) {
        rejections++;
        clock.after(LINK_DELAY, () -> onRejected(server));
        return;
      }
      runningItems++;
      running.merge(server.id(), 1, Integer::sum);
      timers.after(
          Duration.ofMillis(200 + random.nextInt(1_200)),
          () -> {
            running.merge(server.id(), -1, Integer::sum);
            clock.after(Duration.ZERO, () -> onCompleted(server));
          });
    }

    private void onRejected(TrackedServer server) {
      waiting++;
      server.onRequestEnded();
      server.onFull(clock.nowNanos());
      leases.onRejected(server);
    }

    private void onCompleted(TrackedServer server) {
      runningItems--;
      completed++;
      server.onRequestEnded();
      startItems();
    }

    String vm() {
      return node.self().vm().value();
    }

    boolean isCoordinator() {
      return !isKilled && node.leaderLease().isHeld();
    }

    int completed() {
      return completed;
    }

    int waiting() {
      return waiting;
    }

    void cutLinks(boolean isCut) {
      this.isCut = isCut;
    }

    void cutStore(boolean isCut) {
      node.store().setSilent(isCut);
    }

    void pause() {
      clock.pause();
    }

    void resume() {
      clock.resume();
    }

    void kill() {
      isKilled = true;
      cutStore(true);
      cutLinks(true);
      clock.pause();
    }
  }

  private static ServerRegistration registration(BackendServerId id) {
    return new ServerRegistration(
        id,
        1,
        SERVICE,
        SoftwareVersion.of("v1"),
        "10.0.0.9",
        8080,
        AvailabilityZoneId.of("a"),
        SLOTS,
        false,
        ImmutableMap.of(MODEL, WeightVersion.of(1)));
  }

  Daemon start(String vm, String incarnation) {
    Daemon daemon = new Daemon(vm, incarnation);
    daemons.put(vm, daemon);
    return daemon;
  }

  List<Daemon> daemons() {
    return ImmutableList.copyOf(daemons.values());
  }

  Daemon coordinator() {
    return daemons.values().stream().filter(Daemon::isCoordinator).findFirst().orElseThrow();
  }

  /** Returns the daemons that do not coordinate. */
  List<Daemon> owners() {
    return daemons.values().stream().filter(daemon -> !daemon.isCoordinator()).toList();
  }

  /** Starts or ends the loading of weights at an engine, which rejects items meanwhile. */
  void setLoading(String engine, boolean isLoading) {
    if (isLoading) {
      loading.add(BackendServerId.of(engine));
    } else {
      loading.remove(BackendServerId.of(engine));
    }
  }

  void runMillis(long millis) {
    timers.advance(Duration.ofMillis(millis));
  }

  int runningRequests() {
    return running.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of messages that were sent over links. */
  int messages() {
    return messages;
  }

  int rejections() {
    return rejections;
  }

  /** Returns the share of the arrivals at engines that were rejected since the last call. */
  double takeRejectedShare() {
    double share = arrivals == 0 ? 0 : (double) rejections / arrivals;
    arrivals = 0;
    rejections = 0;
    return share;
  }
}
