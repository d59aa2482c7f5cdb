package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionRunner;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Batch jobs, for callers at any daemon: the owner of a job answers, here or over a peer link, and
 * the store does if the owner cannot be reached.
 *
 * <p>Used on one thread.
 *
 * <pre>{@code
 * JobService jobs = JobService.builder()....build();
 * jobs.start();
 * jobs.submit(spec, Duration.ofSeconds(5)).thenAccept(this::answer);
 * }</pre>
 */
public final class JobService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** What a read returns at most, leaving room for its encoding. */
  private static final int MAX_READ_BYTES = 700_000;

  private static final Duration STORE_REREAD_DELAY = Duration.ofMillis(500);
  private static final Duration END_TIMEOUT = Duration.ofSeconds(3);

  private final JobStore store;
  private final JobRegistry registry = new JobRegistry();
  private final JobOwnershipManager ownership;
  private final JobAcceptor acceptor;
  private final OwnedJobOperations operations;
  private final ItemScheduler scheduler;
  private final ResultLister lister;
  private final ProgressSaver saver;
  private final RemoteJobs remote;
  private final OwnerRouter router;
  private final TimerService timers;
  private final Random nonces = new Random();
  private boolean isShuttingDown;

  private JobService(Builder builder) {
    this.timers = checkNotNull(builder.timers, "timers");
    Fleet fleet = checkNotNull(builder.fleet, "fleet");
    this.store =
        new JobStore(
            checkNotNull(builder.store, "store"), TransactionRunner.create(builder.store, timers));
    this.ownership =
        new JobOwnershipManager(
            checkNotNull(builder.self, "self"),
            fleet,
            store,
            registry,
            timers,
            builder.timeOfDay,
            nonces);
    this.remote =
        new RemoteJobs(
            builder.self.vm(), checkNotNull(builder.queryTransport, "queryTransport"), fleet);
    this.router = new OwnerRouter(store, registry, ownership, remote);
    this.acceptor = new JobAcceptor(store, registry, ownership, remote, timers);
    this.operations = new OwnedJobOperations(store, ownership, timers, nonces);
    this.lister = new ResultLister(store, timers, nonces, ownership::refreshOwner);
    this.saver = new ProgressSaver(store, timers, nonces);
    this.scheduler =
        new ItemScheduler(
            checkNotNull(builder.routing, "routing"),
            checkNotNull(builder.directory, "directory"),
            checkNotNull(builder.choice, "choice"),
            checkNotNull(builder.transport, "transport"),
            timers,
            lister::schedule);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Starts to run jobs and to take over those of daemons that are gone. */
  public void start() {
    ownership.start(this::run);
  }

  private void run(OwnedJob job) {
    scheduler.add(job);
    saver.add(job);
  }

  /**
   * Hands all jobs to other daemons, because this one is about to end.
   *
   * @return completes once each job was taken or nobody took it
   */
  public CompletableFuture<Void> handOff() {
    isShuttingDown = true;
    acceptor.stopAccepting();
    return new JobHandoff(registry, ownership, remote).start();
  }

  CompletableFuture<Boolean> takeOver(StoredOwner before, ImmutableList<ItemPartial> partials) {
    return isShuttingDown
        ? CompletableFuture.completedFuture(false)
        : ownership.takeOver(before, partials);
  }

  /** Looks for jobs without a living owner. */
  public void sweep() {
    ownership.scheduleOrphanSweep();
  }

  /** Returns what answers the questions of other daemons. */
  public JobQueryHandler queryHandler() {
    return new JobQueryHandler(this, registry, operations);
  }

  /**
   * Accepts a job.
   *
   * @param timeout the time after which the caller is answered
   * @return a failure {@code NOT_RUN_*} if the job will never run, {@code OUTCOME_UNKNOWN_*} if it
   *     may
   */
  public CompletableFuture<Result<JobAcknowledgement>> submit(JobSpec spec, Duration timeout) {
    return acceptor.submit(spec, timeout);
  }

  CompletableFuture<Result<JobAcknowledgement>> submitForPeer(JobSpec spec, Duration timeout) {
    return acceptor.submitForPeer(spec, timeout);
  }

  /** Returns results from {@code position} on, waiting at most {@code wait} until there are any. */
  public CompletableFuture<Result<ResultSlice>> read(JobId job, int position, Duration wait) {
    Optional<OwnedJob> owned = registry.owned(job);
    if (owned.isPresent()) {
      return operations.read(owned.get(), position, wait, MAX_READ_BYTES);
    }
    return router.route(
        job,
        vm -> remote.read(vm, job, position, wait, MAX_READ_BYTES),
        owner -> readStore(owner, position, wait));
  }

  /** Returns the body of an item. */
  public CompletableFuture<Result<byte[]>> body(JobId job, ItemId item) {
    Optional<OwnedJob> owned = registry.owned(job);
    if (owned.isPresent()) {
      return CompletableFuture.completedFuture(OwnedJobOperations.bodyOf(owned.get().spec(), item));
    }
    return router.route(
        job,
        vm -> remote.body(vm, job, item),
        owner ->
            store
                .job(owner)
                .thenApply(r -> r.flatMap(spec -> OwnedJobOperations.bodyOf(spec, item))));
  }

  /** Ends a job; ending it again changes nothing. */
  public CompletableFuture<Result<JobAcknowledgement>> end(JobId job) {
    Optional<OwnedJob> owned = registry.owned(job);
    if (owned.isPresent()) {
      return operations.end(owned.get());
    }
    return router.route(job, vm -> remote.end(vm, job), this::endInStore);
  }

  private CompletableFuture<Result<ResultSlice>> readStore(
      StoredOwner owner, int position, Duration wait) {
    return store
        .results(owner.job())
        .thenCompose(
            result -> {
              if (result instanceof Result.Failure<ImmutableList<ItemResult>> failure) {
                return OwnerRouter.failed(failure.error().code(), failure.error().message());
              }
              ImmutableList<ItemResult> results =
                  ((Result.Success<ImmutableList<ItemResult>>) result).value();
              int total = owner.owner().items();
              boolean canGrow = results.size() < total && !owner.owner().isEnded();
              if (results.size() <= position && canGrow && !wait.isZero()) {
                return readStoreLater(owner, position);
              }
              ImmutableList<ItemResult> page = ResultPages.limit(results, position, MAX_READ_BYTES);
              return CompletableFuture.completedFuture(
                  Result.success(new ResultSlice(total, position, page)));
            });
  }

  private CompletableFuture<Result<ResultSlice>> readStoreLater(StoredOwner owner, int position) {
    CompletableFuture<Result<ResultSlice>> reply = new CompletableFuture<>();
    timers.after(
        STORE_REREAD_DELAY,
        () -> readStore(owner, position, Duration.ZERO).thenAccept(reply::complete));
    return reply;
  }

  private CompletableFuture<Result<JobAcknowledgement>> endInStore(StoredOwner owner) {
    if (owner.owner().isEnded()) {
      return CompletableFuture.completedFuture(Result.success(JobAcknowledgement.ENDED));
    }
    JobOwner ended = owner.owner().ended(nonces.nextLong());
    return store
        .endWithNotice(owner, ended, END_TIMEOUT)
        .thenCompose(
            reply -> {
              if (reply instanceof TransactionReply.Committed committed) {
                logger.atInfo().log("event=job_ended_for_owner job=%s", owner.job());
                registry.cacheOwner(new StoredOwner(owner.job(), ended, committed.revision()));
                return CompletableFuture.completedFuture(Result.success(JobAcknowledgement.ENDED));
              }
              registry.evictOwner(owner.job());
              return OwnerRouter.failed(
                  ResultCode.PLATFORM_UNAVAILABLE, "the end could not be recorded: " + reply);
            });
  }

  /** Returns the state of all owned jobs, for the state dump. */
  public ImmutableList<JobDescription> describe() {
    return registry.owned().stream()
        .map(job -> JobDescription.of(job, timers.nowNanos()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Builder of {@link JobService}; every part is mandatory. */
  public static final class Builder {
    private @Nullable FleetNode self;
    private @Nullable Fleet fleet;
    private @Nullable TransactionalStore store;
    private @Nullable TimerService timers;
    private @Nullable RoutingTable routing;
    private @Nullable ServerDirectory directory;
    private @Nullable ServerChoice choice;
    private @Nullable ItemTransport transport;
    private @Nullable JobQueryTransport queryTransport;
    private InstantSource timeOfDay = InstantSource.system();

    private Builder() {}

    /** Sets this daemon and the view of the others. */
    @CanIgnoreReturnValue
    public Builder fleet(FleetNode self, Fleet fleet) {
      this.self = self;
      this.fleet = fleet;
      return this;
    }

    /** Sets the store. */
    @CanIgnoreReturnValue
    public Builder store(TransactionalStore store) {
      this.store = store;
      return this;
    }

    /** Sets the timers, on whose thread everything runs. */
    @CanIgnoreReturnValue
    public Builder timers(TimerService timers) {
      this.timers = timers;
      return this;
    }

    /** Sets the time of day, which dates acceptances. */
    @CanIgnoreReturnValue
    public Builder timeOfDay(InstantSource timeOfDay) {
      this.timeOfDay = timeOfDay;
      return this;
    }

    /** Sets the configuration. */
    @CanIgnoreReturnValue
    public Builder routing(RoutingTable routing) {
      this.routing = routing;
      return this;
    }

    /** Sets the servers and how one is chosen. */
    @CanIgnoreReturnValue
    public Builder servers(ServerDirectory directory, ServerChoice choice) {
      this.directory = directory;
      this.choice = choice;
      return this;
    }

    /** Sets what runs items. */
    @CanIgnoreReturnValue
    public Builder transport(ItemTransport transport) {
      this.transport = transport;
      return this;
    }

    /** Sets how other daemons are asked. */
    @CanIgnoreReturnValue
    public Builder queryTransport(JobQueryTransport queryTransport) {
      this.queryTransport = queryTransport;
      return this;
    }

    /**
     * Returns the service, not started.
     *
     * @throws NullPointerException if a part was not set
     */
    public JobService build() {
      return new JobService(this);
    }
  }
}
