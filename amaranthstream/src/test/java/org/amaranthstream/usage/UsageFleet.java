package org.amaranthstream.usage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.duties.ApiReach;
import org.amaranthstream.duties.DutyCalls;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.fleet.FleetRelays;
import org.amaranthstream.fleet.FleetSession;
import org.amaranthstream.fleet.LeaderLease;
import org.amaranthstream.fleet.LeaderLeaseTiming;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.PausableTimerService;
import org.amaranthstream.time.VirtualTimerService;

/** Daemons that count requests and report them, on a simulated store and API in virtual time. */
final class UsageFleet {
  static final UsageTiming TIMING = new UsageTiming(Duration.ofSeconds(5), Duration.ofSeconds(10));
  static final Duration ORDER_TURN = Duration.ofSeconds(3);
  private static final Duration LINK_DELAY = Duration.ofMillis(2);
  private static final double CALLS_PER_SECOND = 50;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final SimulatedPlatformApi api;
  private final Random random;
  private final Map<String, Node> nodes = new LinkedHashMap<>();

  /** The requests that really began, by window and workspace. */
  private final Map<Long, Map<WorkspaceId, Long>> truth = new TreeMap<>();

  private int incarnations;
  private boolean areAnswersLost;
  private boolean areLinksSlow;

  UsageFleet(long seed) {
    random = new Random(seed);
    api = new SimulatedPlatformApi(timers, random);
  }

  /** A daemon. */
  final class Node {
    private final FleetNode self;
    private final PausableTimerService clock = new PausableTimerService(timers);
    private final SimulatedStoreClient client = store.client();
    private final SimulatedPlatformApi.Client apiClient;
    private final LeaderLease lease;
    private final UsageCounters counters;
    private final UsageExchange exchange;
    private final ApiReach reach;
    private Duration step = Duration.ZERO;
    private boolean isCut;

    private Node(String vm, String zone) {
      self =
          new FleetNode(
              EntryVmId.of(vm),
              Incarnation.of("i" + incarnations++),
              "10.0.0." + vm.length(),
              7000,
              AvailabilityZoneId.of(zone),
              RegionId.of("r"));
      apiClient = api.client(vm, clock);
      Fleet fleet = Fleet.create(client, clock);
      FleetSession session = FleetSession.create(client, clock, UsageFleet.this::now, self);
      lease =
          LeaderLease.create(
              "api", client, clock, fleet, session, LeaderLeaseTiming.of(ORDER_TURN));
      FleetRelays relays = FleetRelays.create(self, fleet);
      lease.competeIf(relays::isRelay);
      reach = ApiReach.create(apiClient, relays, this::query, lease, clock);
      DutyCalls calls = DutyCalls.create(apiClient, lease, reach, clock, CALLS_PER_SECOND);
      TrueClock trueClock = TrueClock.create(clock, () -> now().plus(step));
      counters = UsageCounters.create(trueClock, TIMING);
      exchange = new UsageExchange(self, relays, this::query, clock, trueClock, counters, TIMING);
      final UsageReporter reporter =
          new UsageReporter(lease, exchange, client, calls::reportUsage, trueClock, clock, TIMING);
      fleet.addListener(session);
      fleet.start();
      session.start(() -> {});
      lease.start();
      exchange.start();
      reporter.start();
    }

    private CompletableFuture<Result<byte[]>> query(
        EntryVmId to, QueryKind kind, byte[] body, Duration timeout) {
      CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
      clock.after(
          timeout,
          () -> answer.complete(Result.failure(ResultCode.OUTCOME_UNKNOWN_DEADLINE, "late")));
      Node peer = nodes.get(to.value());
      if (peer != null && !isCut && !peer.isCut) {
        peer.clock.after(
            linkDelay(),
            () ->
                peer.handle(kind, body)
                    .thenAccept(
                        result -> {
                          if (!areAnswersLost) {
                            clock.after(linkDelay(), () -> answer.complete(result));
                          }
                        }));
      }
      return answer;
    }

    private CompletableFuture<Result<byte[]>> handle(QueryKind kind, byte[] body) {
      return switch (kind) {
        case USAGE_PUSH -> exchange.onPush(body);
        case USAGE_COUNTS -> exchange.onQuestion(body);
        default -> reach.handle();
      };
    }

    /**
     * Lets a backend server begin a request at this daemon, which knows of it only once the server
     * has responded.
     */
    void begin(String workspace, Duration responseTime) {
      WorkspaceId id = WorkspaceId.of(workspace);
      long beganNanos = clock.nowNanos();
      clock.after(responseTime, () -> counters.onRequestBegan(id, beganNanos));
      truth
          .computeIfAbsent(TIMING.windowAt(now().toEpochMilli()), unused -> new TreeMap<>())
          .merge(id, 1L, Long::sum);
    }

    void pause() {
      clock.pause();
    }

    void resume() {
      clock.resume();
    }

    /** Cuts the links to other daemons. */
    void cutLinks(boolean isCut) {
      this.isCut = isCut;
    }

    /** Kills the daemon. */
    void kill() {
      clock.pause();
      isCut = true;
      nodes.remove(self.vm().value());
    }

    /** Steps the time of day of the VM. */
    void stepClock(Duration step) {
      this.step = this.step.plus(step);
    }

    String vm() {
      return self.vm().value();
    }

    String zone() {
      return self.zone().value();
    }

    SimulatedStoreClient store() {
      return client;
    }

    SimulatedPlatformApi.Client api() {
      return apiClient;
    }

    LeaderLease lease() {
      return lease;
    }
  }

  Instant now() {
    return Instant.ofEpochMilli(1_700_000_000_000L + timers.nowNanos() / 1_000_000);
  }

  Node start(String vm, String zone) {
    Node node = new Node(vm, zone);
    nodes.put(vm, node);
    return node;
  }

  private Duration linkDelay() {
    return areLinksSlow ? Duration.ofMillis(random.nextInt(3_000)) : LINK_DELAY;
  }

  /** Delays messages between daemons, each by a time of its own, so that they overtake others. */
  void slowLinks(boolean areSlow) {
    areLinksSlow = areSlow;
  }

  /** Loses the answers of queries between daemons, which take effect. */
  void loseAnswers(boolean areLost) {
    areAnswersLost = areLost;
  }

  ImmutableList<Node> nodes() {
    return ImmutableList.copyOf(nodes.values());
  }

  Optional<Node> holder() {
    return nodes.values().stream().filter(node -> node.lease().current().isPresent()).findFirst();
  }

  SimulatedPlatformApi api() {
    return api;
  }

  SimulatedStore store() {
    return store;
  }

  Map<WorkspaceId, Long> truth(long window) {
    return truth.getOrDefault(window, Map.of());
  }

  void runMillis(long millis) {
    timers.advance(Duration.ofMillis(millis));
  }
}
