package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetSession;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.platform.TransactionRunner;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.ReachMonitor;
import org.amaranthstream.servers.RequestPermits;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Batch jobs, for callers at any daemon. The owner of a job handles the call, locally or over a
 * peer link. If the owner cannot be reached, the store is used in its place.
 *
 * <p>Used on one thread.
 *
 * <pre>{@code
 * JobService jobs = JobService.builder()....build();
 * jobs.start();
 * jobs.submit(spec, Duration.ofSeconds(5)).thenAccept(this::respond);
 * }</pre>
 */
public final class JobService {
  /** Maximum size of the texts that a read returns; leaves room for their encoding. */
  static final int MAX_READ_BYTES = 700_000;

  private final JobStore store;
  private final JobRegistry registry = new JobRegistry();
  private final JobOwnershipManager ownership;
  private final JobAcceptor acceptor;
  private final OwnedJobOperations operations;
  private final ItemScheduler scheduler;
  private final RewardScheduler rewardScheduler;
  private final RoutingTable routing;
  private final ReachMonitor reach;
  private final JobHandoff handoff;
  private final UnreachableJobs unreachableJobs;
  private final ResultAppender resultAppender;
  private final CheckpointWriter checkpointWriter;
  private final RemoteJobs remote;
  private final OwnerRouter router;
  private final StoredJobs storedJobs;
  private final TimerService timers;
  private final Random nonces = new Random();
  private boolean isShuttingDown;

  private JobService(Builder builder) {
    this.timers = checkNotNull(builder.timers, "timers");
    Fleet fleet = checkNotNull(builder.fleet, "fleet");
    this.store =
        new JobStore(
            checkNotNull(builder.store, "store"), TransactionRunner.create(builder.store, timers));
    MemoryBudget budget = builder.budget == null ? MemoryBudget.ofHeap(timers) : builder.budget;
    ResultCache cache = new ResultCache(budget);
    this.ownership =
        new JobOwnershipManager(
            checkNotNull(builder.session, "session"),
            fleet,
            store,
            registry,
            timers,
            builder.timeOfDay,
            nonces,
            budget,
            cache);
    this.remote =
        new RemoteJobs(
            builder.session.self().vm(),
            checkNotNull(builder.queryTransport, "queryTransport"),
            fleet);
    this.router = new OwnerRouter(store, registry, ownership, remote);
    this.storedJobs = new StoredJobs(store, registry, timers, nonces, MAX_READ_BYTES);
    this.acceptor = new JobAcceptor(store, registry, ownership, remote, timers, budget);
    this.operations =
        new OwnedJobOperations(store, new ResultReader(store, cache), ownership, timers, nonces);
    this.resultAppender = new ResultAppender(store, cache, timers, nonces, ownership::refreshOwner);
    this.checkpointWriter = new CheckpointWriter(store, timers, nonces, ownership::refreshOwner);
    this.scheduler =
        new ItemScheduler(
            checkNotNull(builder.routing, "routing"),
            checkNotNull(builder.directory, "directory"),
            checkNotNull(builder.choice, "choice"),
            checkNotNull(builder.transport, "transport"),
            checkNotNull(builder.permits, "permits"),
            builder.scheduling,
            ownership.check(),
            timers,
            this::onItemsChanged);
    budget.addCache(scheduler::discardLongTexts);
    this.routing = builder.routing;
    this.reach = checkNotNull(builder.reach, "reach");
    this.handoff = new JobHandoff(registry, ownership, remote);
    this.unreachableJobs = new UnreachableJobs(registry, handoff, routing, reach, timers);
    this.rewardScheduler =
        new RewardScheduler(
            routing,
            builder.directory,
            checkNotNull(builder.rewardTransport, "rewardTransport"),
            timers,
            resultAppender::schedule);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Starts running jobs and taking over the jobs of daemons that have crashed or left. */
  public void start() {
    ownership.start(this::run);
  }

  private void run(OwnedJob job) {
    scheduler.add(job);
    unreachableJobs.check();
    rewardScheduler.add(job);
    checkpointWriter.add(job);
    if (isShuttingDown) {
      handoff.handOff(job);
    }
  }

  private void onItemsChanged(OwnedJob job) {
    resultAppender.schedule(job);
    if (job.hasTextsToScore()) {
      rewardScheduler.schedule();
    }
  }

  /**
   * Hands off all owned jobs to other daemons, because this one is shutting down.
   *
   * @return completes once every job has a new owner or no peer has taken it over
   */
  public CompletableFuture<Void> handOff() {
    isShuttingDown = true;
    acceptor.stopAccepting();
    return handoff.start();
  }

  /**
   * Returns true while a job is handed off, also one whose acceptance or takeover ended after the
   * shutdown had begun.
   */
  public boolean isHandingOff() {
    return handoff.isInProgress();
  }

  /** Fails the submissions whose outcome is not known yet, because the process exits. */
  public void failPendingSubmissions() {
    acceptor.failPending();
  }

  /** Takes over a job that a peer hands off, unless this daemon is itself shutting down. */
  CompletableFuture<TakeoverOutcome> takeOver(
      StoredOwner before, ImmutableList<PartialOutput> partials) {
    return isShuttingDown
        ? CompletableFuture.completedFuture(TakeoverOutcome.NOT_TAKEN)
        : ownership.acceptHandoff(before, partials);
  }

  /**
   * Verifies that this daemon reaches a server that can run the items of a job.
   *
   * @return a future that never completes exceptionally
   */
  CompletableFuture<Boolean> reachesServers(String host, String path) {
    Optional<Route> route = routing.current().flatMap(config -> config.find(host, path));
    List<CompletableFuture<Boolean>> services =
        route.map(Route::services).orElse(ImmutableList.of()).stream()
            .filter(service -> service.weight() > 0)
            .map(service -> reach.of(service.service()).verify())
            .toList();
    return services.stream()
        .reduce(
            CompletableFuture.completedFuture(false),
            (first, second) -> first.thenCombine(second, Boolean::logicalOr));
  }

  /** Schedules a sweep for jobs whose owner no longer runs. */
  public void sweep() {
    ownership.sweeper().schedule();
  }

  /** Returns a handler of queries from other daemons. */
  public JobQueryHandler queryHandler() {
    return new JobQueryHandler(this, ownership.check(), operations);
  }

  /**
   * Accepts a job. Rejects it with {@code NO_ROUTE} if no route matches one of its reward calls,
   * because the items could never get their scores.
   *
   * @param timeout the time after which the outcome is reported as unknown if the store has not
   *     confirmed the job
   * @return a failure {@code NOT_RUN_*} if the job will never run, {@code OUTCOME_UNKNOWN_*} if it
   *     may
   */
  public CompletableFuture<Result<JobAcknowledgement>> submit(JobSpec spec, Duration timeout) {
    Optional<ErrorDetail> unscorable = findUnscorableItem(spec);
    if (unscorable.isPresent()) {
      return CompletableFuture.completedFuture(Result.failure(unscorable.get()));
    }
    return acceptor.submit(spec, timeout);
  }

  private Optional<ErrorDetail> findUnscorableItem(JobSpec spec) {
    Optional<RoutingConfig> config = routing.current();
    if (config.isEmpty()) {
      return Optional.empty();
    }
    return spec.items().stream()
        .flatMap(item -> item.rewardCall().stream())
        .filter(call -> config.get().find(call.host(), call.path()).isEmpty())
        .findFirst()
        .map(
            call ->
                ErrorDetail.of(
                    ResultCode.NO_ROUTE,
                    "no route of host " + call.host() + " matches path " + call.path()));
  }

  /** Accepts a job that a peer has relayed. */
  CompletableFuture<Result<JobAcknowledgement>> submitForPeer(JobSpec spec, Duration timeout) {
    return acceptor.submitForPeer(spec, timeout);
  }

  /** Returns whether there is such a job; fails if neither this daemon nor the store knows. */
  public CompletableFuture<Result<Boolean>> exists(JobId job) {
    return router.exists(job);
  }

  /** Returns results from {@code position} on. Waits at most {@code wait} for the first of them. */
  public CompletableFuture<Result<ResultSlice>> read(JobId job, int position, Duration wait) {
    return callOwner(
        job,
        owned -> operations.read(owned, position, wait, MAX_READ_BYTES),
        () ->
            router.route(
                job,
                vm -> remote.read(vm, job, position, wait, MAX_READ_BYTES),
                owner -> storedJobs.read(owner, position, wait)));
  }

  /** Returns the request body of an item. */
  public CompletableFuture<Result<byte[]>> body(JobId job, ItemId item) {
    return callOwner(
        job,
        owned -> operations.body(owned, item),
        () ->
            router.route(
                job,
                vm -> remote.body(vm, job, item),
                owner ->
                    store
                        .job(owner)
                        .thenApply(r -> r.flatMap(spec -> OwnedJobOperations.bodyOf(spec, item)))));
  }

  /** Ends a job. Ending a job that has ended has no effect. */
  public CompletableFuture<Result<JobAcknowledgement>> end(JobId job) {
    return callOwner(
        job, operations::end, () -> router.route(job, vm -> remote.end(vm, job), storedJobs::end));
  }

  /** Serves a call here if this daemon owns the job, and elsewhere if it does not or loses it. */
  private <T> CompletableFuture<Result<T>> callOwner(
      JobId job,
      Function<OwnedJob, CompletableFuture<Result<T>>> here,
      Supplier<CompletableFuture<Result<T>>> elsewhere) {
    return ownership
        .check()
        .owned(job)
        .thenCompose(
            owned -> owned.isEmpty() ? elsewhere.get() : serve(owned.get(), here, elsewhere));
  }

  private static <T> CompletableFuture<Result<T>> serve(
      OwnedJob job,
      Function<OwnedJob, CompletableFuture<Result<T>>> here,
      Supplier<CompletableFuture<Result<T>>> elsewhere) {
    return here.apply(job)
        .thenCompose(
            result ->
                job.isOwnershipLost() && result instanceof Result.Failure
                    ? elsewhere.get()
                    : CompletableFuture.completedFuture(result));
  }

  /** Returns the state of all owned jobs for the state dump. */
  public ImmutableList<JobDescription> describe() {
    return registry.owned().stream()
        .map(job -> JobDescription.of(job, timers.nowNanos()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Builder of {@link JobService}. Everything without a default must be set. */
  public static final class Builder {
    private @Nullable FleetSession session;
    private @Nullable Fleet fleet;
    private @Nullable TransactionalStore store;
    private @Nullable TimerService timers;
    private @Nullable RoutingTable routing;
    private @Nullable ServerDirectory directory;
    private @Nullable ServerChoice choice;
    private @Nullable ReachMonitor reach;
    private @Nullable ItemTransport transport;
    private @Nullable RequestPermits permits;
    private ItemSchedulingOptions scheduling = ItemSchedulingOptions.OFF;
    private @Nullable RewardTransport rewardTransport;
    private @Nullable JobQueryTransport queryTransport;
    private InstantSource timeOfDay = InstantSource.system();
    private @Nullable MemoryBudget budget;

    private Builder() {}

    /** Sets the session of this daemon and the view of all daemons. */
    @CanIgnoreReturnValue
    public Builder fleet(FleetSession session, Fleet fleet) {
      this.session = session;
      this.fleet = fleet;
      return this;
    }

    /** Sets the store. */
    @CanIgnoreReturnValue
    public Builder store(TransactionalStore store) {
      this.store = store;
      return this;
    }

    /** Sets the timer service, on whose thread the service runs. */
    @CanIgnoreReturnValue
    public Builder timers(TimerService timers) {
      this.timers = timers;
      return this;
    }

    /** Sets the clock that gives the time at which a job is accepted. */
    @CanIgnoreReturnValue
    public Builder timeOfDay(InstantSource timeOfDay) {
      this.timeOfDay = timeOfDay;
      return this;
    }

    /** Sets the memory budget of the process; by default, a budget of its own for the heap. */
    @CanIgnoreReturnValue
    public Builder memory(MemoryBudget budget) {
      this.budget = budget;
      return this;
    }

    /** Sets the routing table. */
    @CanIgnoreReturnValue
    public Builder routing(RoutingTable routing) {
      this.routing = routing;
      return this;
    }

    /** Sets the monitor of the services whose servers this daemon reaches. */
    @CanIgnoreReturnValue
    public Builder reach(ReachMonitor reach) {
      this.reach = reach;
      return this;
    }

    /** Sets the backend servers and the policy that chooses among them. */
    @CanIgnoreReturnValue
    public Builder servers(ServerDirectory directory, ServerChoice choice) {
      this.directory = directory;
      this.choice = choice;
      return this;
    }

    /** Sets the transport that runs items on backend servers. */
    @CanIgnoreReturnValue
    public Builder transport(ItemTransport transport) {
      this.transport = transport;
      return this;
    }

    /** Sets the source of permits for servers that limit their rate. */
    @CanIgnoreReturnValue
    public Builder permits(RequestPermits permits) {
      this.permits = permits;
      return this;
    }

    /** Sets the optional parts of the scheduling of items; by default, all are off. */
    @CanIgnoreReturnValue
    public Builder scheduling(ItemSchedulingOptions scheduling) {
      this.scheduling = checkNotNull(scheduling, "scheduling");
      return this;
    }

    /** Sets the transport that sends the reward calls of items. */
    @CanIgnoreReturnValue
    public Builder rewardTransport(RewardTransport rewardTransport) {
      this.rewardTransport = rewardTransport;
      return this;
    }

    /** Sets the transport of queries to other daemons. */
    @CanIgnoreReturnValue
    public Builder queryTransport(JobQueryTransport queryTransport) {
      this.queryTransport = queryTransport;
      return this;
    }

    /**
     * Returns the service, which is not started yet.
     *
     * @throws NullPointerException if a mandatory part was not set
     */
    public JobService build() {
      return new JobService(this);
    }
  }
}
