package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.fleet.FleetSession;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.jobs.wire.JobAnswer;
import org.amaranthstream.jobs.wire.JobQuestion;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.ReachMonitor;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.PausableTimerService;
import org.amaranthstream.time.VirtualTimerService;

/** Daemons that run batch jobs on simulated engines, with one simulated store, in virtual time. */
final class JobFleet {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);
  private static final long AMPLE_MEMORY_BYTES = 100_000_000;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final SimulatedServers servers = new SimulatedServers(timers);
  private final SimulatedRewards rewards = new SimulatedRewards(timers, servers);
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final ItemSchedulingOptions scheduling;
  private final long memoryBytes;
  private int incarnations;

  JobFleet() {
    this(ItemSchedulingOptions.OFF);
  }

  JobFleet(ItemSchedulingOptions scheduling) {
    this(scheduling, AMPLE_MEMORY_BYTES);
  }

  /** Creates daemons each of which has {@code memoryBytes} for jobs. */
  JobFleet(long memoryBytes) {
    this(ItemSchedulingOptions.OFF, memoryBytes);
  }

  private JobFleet(ItemSchedulingOptions scheduling, long memoryBytes) {
    this.scheduling = scheduling;
    this.memoryBytes = memoryBytes;
  }

  /** A daemon with its own store client, clock and routing table. */
  final class Node {
    private final String name;
    private final PausableTimerService clock = new PausableTimerService(timers);
    private final MemoryBudget memory = MemoryBudget.of(clock, memoryBytes);
    private final SimulatedStoreClient client = store.client(clock);
    private final RoutingTable routing = RoutingTable.create();
    private final ServerDirectory directory = ServerDirectory.create(clock);
    private final JobService jobs;
    private final JobQueryHandler queryHandler;
    private final FleetSession session;
    private final FleetNode self;
    private boolean isCut;
    private boolean areServersCut;
    private boolean areAnswersLost;
    private boolean areConnectionsRefused;
    private boolean isKilled;
    private Duration timeOfDayStep = Duration.ZERO;

    private Node(String name) {
      this.name = name;
      incarnations++;
      self =
          new FleetNode(
              EntryVmId.of(name),
              Incarnation.of("i" + incarnations),
              "10.0.0.1",
              7000,
              AvailabilityZoneId.of("a"),
              RegionId.of("r"));
      Fleet fleet = Fleet.create(client, clock);
      session = FleetSession.create(client, clock, this::timeOfDay, self);
      jobs =
          JobService.builder()
              .permits((server, patience, listener) -> listener.accept(true))
              .scheduling(scheduling)
              .fleet(session, fleet)
              .store(client)
              .timers(clock)
              .memory(memory)
              .timeOfDay(this::timeOfDay)
              .routing(routing)
              .servers(directory, ServerChoice.in(self.zone(), zone -> Optional.empty()))
              .reach(ReachMonitor.create(directory, this::probe, clock))
              .transport(this::start)
              .rewardTransport(this::startRewardCall)
              .queryTransport(this::query)
              .build();
      queryHandler = jobs.queryHandler();
      routing.apply(JobRoutes.config());
      fleet.addListener(session);
      fleet.start();
      jobs.start();
      session.start(jobs::sweep);
    }

    private CompletableFuture<Boolean> probe(TrackedServer server, Duration timeout) {
      CompletableFuture<Boolean> responds = new CompletableFuture<>();
      boolean isReached = !areServersCut && !areConnectionsRefused && servers.responds(server);
      clock.after(isReached ? Duration.ofMillis(5) : timeout, () -> responds.complete(isReached));
      return responds;
    }

    MemoryBudget memory() {
      return memory;
    }

    RoutingTable routing() {
      return routing;
    }

    /** Refuses new connections between this daemon and the backend servers; open ones work. */
    void refuseConnections() {
      areConnectionsRefused = true;
    }

    /** Cuts all links between this daemon and the backend servers. */
    void cutServers() {
      areServersCut = true;
    }

    private ItemTransport.Run start(
        TrackedServer server, ItemRequest request, ItemListener listener) {
      if (areConnectionsRefused) {
        clock.after(
            Duration.ofMillis(1),
            () -> listener.onEnded(new ItemRunOutcome.Broken("connection refused")));
        return () -> {};
      }
      if (areServersCut) {
        timers.after(
            CONNECT_TIMEOUT,
            () -> listener.onEnded(new ItemRunOutcome.Broken("connection timed out")));
        return () -> {};
      }
      ItemListener attached = new DetachableItemListener(listener, () -> isKilled || areServersCut);
      return servers.start(server, request, new SuspendableItemListener(attached, clock));
    }

    private StageRun startRewardCall(
        Route route, RewardCall call, Duration timeout, Consumer<RewardOutcome> listener) {
      return rewards.start(
          route,
          call,
          timeout,
          outcome -> {
            if (!isKilled) {
              listener.accept(outcome);
            }
          });
    }

    private CompletableFuture<Result<JobAnswer>> query(
        EntryVmId vm, JobQuestion query, Duration timeout) {
      CompletableFuture<Result<JobAnswer>> reply = new CompletableFuture<>();
      Node peer = nodes.get(vm.value());
      if (isCut || peer == null || peer.isCut || peer.isKilled) {
        reply.complete(Result.failure(ResultCode.PEER_UNREACHABLE, "the links are cut"));
        return reply;
      }
      CompletableFuture<Result<JobAnswer>> answer =
          peer.areAnswersLost ? new CompletableFuture<>() : reply;
      timers.after(Duration.ofMillis(1), () -> peer.handle(query, answer));
      timers.after(
          timeout,
          () ->
              reply.complete(
                  Result.failure(ResultCode.OUTCOME_UNKNOWN_DEADLINE, "no response in time")));
      return reply;
    }

    private void handle(JobQuestion query, CompletableFuture<Result<JobAnswer>> reply) {
      try {
        JobQuestion copy = JobQuestion.parseFrom(query.toByteArray());
        queryHandler.handle(copy).thenAccept(a -> reply.complete(Result.success(a)));
      } catch (InvalidProtocolBufferException e) {
        throw new AssertionError(e);
      }
    }

    String name() {
      return name;
    }

    JobService jobs() {
      return jobs;
    }

    SimulatedStoreClient store() {
      return client;
    }

    boolean owns(JobId job) {
      return jobs.describe().stream().anyMatch(d -> d.job().equals(job.value()));
    }

    /** Cuts the links to the other daemons. */
    void cutLinks(boolean isCut) {
      this.isCut = isCut;
    }

    /** Sets whether the answers of this daemon to its peers are lost. */
    void loseAnswers(boolean areLost) {
      areAnswersLost = areLost;
    }

    /** Suspends the VM, so that its timers do not run. */
    void pause() {
      clock.pause();
    }

    void resume() {
      clock.resume();
    }

    /** Kills the process, without a handoff or any further message. */
    void kill() {
      isKilled = true;
      client.setSilent(true);
      clock.pause();
    }

    /** Sets the time of day of the VM forward, or back if {@code step} is negative. */
    void stepTimeOfDay(Duration step) {
      timeOfDayStep = timeOfDayStep.plus(step);
    }

    private Instant timeOfDay() {
      return now().plus(timeOfDayStep);
    }

    /** Shuts the process down with a handoff of its jobs. */
    void shutDown() {
      jobs.handOff().thenRun(session::close);
    }

    boolean isKilled() {
      return isKilled;
    }
  }

  private Instant now() {
    return Instant.ofEpochMilli(timers.nowNanos() / 1_000_000);
  }

  /** Starts a daemon, or a new incarnation of it. */
  Node start(String name) {
    Node node = new Node(name);
    nodes.put(name, node);
    return node;
  }

  /** Adds a backend server to the directories of all daemons. */
  void addServer(String id, int slots, long version) {
    nodes
        .values()
        .forEach(
            n -> n.directory.onRegistration(SimulatedServers.registration(id, slots, version)));
  }

  /** Adds a backend server with the given software to the directories of all daemons. */
  void addServer(String id, int slots, long version, String software) {
    nodes
        .values()
        .forEach(
            n ->
                n.directory.onRegistration(
                    SimulatedServers.registration(id, slots, version, software)));
  }

  /** Crashes a backend server, whose registration ends at once. */
  void crashServer(String id) {
    nodes.values().forEach(n -> n.directory.onRegistrationRemoved(BackendServerId.of(id)));
    servers.crash(id);
  }

  /** Adds a server of the service that scores items to the directories of all daemons. */
  void addRewardServer(String id, int slots) {
    nodes.values().forEach(n -> n.directory.onRegistration(SimulatedRewards.server(id, slots)));
  }

  List<Node> runningNodes() {
    return nodes.values().stream().filter(node -> !node.isKilled).toList();
  }

  SimulatedStore store() {
    return store;
  }

  SimulatedServers servers() {
    return servers;
  }

  SimulatedRewards rewards() {
    return rewards;
  }

  /** Returns the virtual time. */
  long nowNanos() {
    return timers.nowNanos();
  }

  void run(Duration duration) {
    timers.advance(duration);
  }

  void runMillis(long millis) {
    run(Duration.ofMillis(millis));
  }

  /** Advances the clock by 1 ms at a time until {@code condition} holds, for at most 20 s. */
  void runUntil(BooleanSupplier condition) {
    for (int i = 0; i < 20_000 && !condition.getAsBoolean(); i++) {
      runMillis(1);
    }
  }

  /** Returns true if the store names {@code node} as the owner of {@code job}. */
  boolean ownerIs(JobId job, Node node) {
    return store
        .entry(JobKeys.owner(job))
        .flatMap(JobStore::storedOwner)
        .filter(o -> o.owner().isHeldBy(node.self.vm(), node.self.incarnation()))
        .isPresent();
  }

  <T> T await(CompletableFuture<T> reply) {
    for (int i = 0; i < 400 && !reply.isDone(); i++) {
      runMillis(50);
    }
    return reply.join();
  }

  /** Reads all results of a job at {@code node}; empty if the read fails. */
  ImmutableList<ItemResult> read(Node node, JobId job) {
    Result<ResultSlice> result = await(node.jobs().read(job, 0, Duration.ZERO));
    return result instanceof Result.Success<ResultSlice> success
        ? success.value().results()
        : ImmutableList.of();
  }
}
