package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.memory.Reservation;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Handler of job submissions. A job is accepted at most once, when the store has acknowledged it.
 *
 * <p>A submission is rejected only if no write of the job can still take effect. Otherwise its
 * outcome is unknown, and the write is retried, so that a job that was stored after all is run.
 * {@link StoreAttempts} decides which of the two is the case. Used on one thread.
 */
final class JobAcceptor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time for which the write is retried after the caller has received an unknown outcome. */
  private static final Duration UNKNOWN_OUTCOME_RETRY_TIMEOUT = Duration.ofSeconds(30);

  /** Time before a submission is relayed to peers; a slow store may be equally slow for them. */
  private static final Duration RELAY_DELAY = Duration.ofMillis(900);

  /** Time for a peer to accept a job that is relayed to it. */
  private static final Duration RELAY_TIMEOUT = Duration.ofMillis(3_500);

  /**
   * Time for the preferred owner to accept a job. After that this daemon accepts it too, and the
   * store decides; the caller gets its response within a fraction of a second in any case.
   */
  private static final Duration PREFERRED_OWNER_TIMEOUT = Duration.ofMillis(250);

  private final JobStore store;
  private final JobRegistry registry;
  private final JobOwnershipManager ownership;
  private final RemoteJobs remote;
  private final TimerService timers;
  private final MemoryBudget budget;
  private final Map<JobId, Submission> pending = new HashMap<>();

  /** The attempts of submissions that ended with an unknown outcome a short time ago. */
  private final Map<JobId, StoreAttempts> undecided = new HashMap<>();

  private boolean isShuttingDown;

  JobAcceptor(
      JobStore store,
      JobRegistry registry,
      JobOwnershipManager ownership,
      RemoteJobs remote,
      TimerService timers,
      MemoryBudget budget) {
    this.store = store;
    this.registry = registry;
    this.ownership = ownership;
    this.remote = remote;
    this.timers = timers;
    this.budget = budget;
  }

  /** Stops accepting jobs for this daemon to own; submissions are only relayed to peers. */
  void stopAccepting() {
    isShuttingDown = true;
  }

  /**
   * Accepts a job. Succeeds without effect if any daemon has accepted the job before. There is
   * memory for the job, as its request has reserved several times its length until its response.
   */
  CompletableFuture<Result<JobAcknowledgement>> submit(JobSpec spec, Duration timeout) {
    return accept(spec, timeout, true);
  }

  /**
   * Fails the submissions that are still undecided, because the process exits. A job that was
   * stored after all is run by another daemon.
   */
  void failPending() {
    ImmutableList.copyOf(pending.values()).forEach(Submission::failOnExit);
  }

  /** Accepts a job that a peer has relayed; it is not relayed further. */
  CompletableFuture<Result<JobAcknowledgement>> submitForPeer(JobSpec spec, Duration timeout) {
    return isShuttingDown && !isKnown(spec.id())
        ? answerPeerOnShutdown(spec.id(), timeout)
        : accept(spec, timeout, false);
  }

  /** Returns the outcome of an own submission of the same job; a new one is not accepted. */
  private CompletableFuture<Result<JobAcknowledgement>> answerPeerOnShutdown(
      JobId job, Duration timeout) {
    Submission own = pending.get(job);
    if (own != null && own.attempts.isWriteOpen()) {
      return own.join(timeout);
    }
    StoreAttempts attempts = own == null ? earlierAttempts(job) : own.attempts;
    ResultCode code =
        attempts.failureCode(ResultCode.NOT_RUN_OVERLOADED, ResultCode.OUTCOME_UNKNOWN_PEER_LOST);
    return CompletableFuture.completedFuture(Result.failure(code, "this daemon is shutting down"));
  }

  private StoreAttempts earlierAttempts(JobId job) {
    StoreAttempts earlier = undecided.get(job);
    return earlier == null ? new StoreAttempts() : earlier;
  }

  private boolean isKnown(JobId job) {
    return registry.owned(job).isPresent() || registry.cachedOwner(job).isPresent();
  }

  private CompletableFuture<Result<JobAcknowledgement>> accept(
      JobSpec spec, Duration timeout, boolean mayRelay) {
    if (isKnown(spec.id())) {
      return CompletableFuture.completedFuture(Result.success(JobAcknowledgement.ACCEPTED));
    }
    Submission before = pending.get(spec.id());
    if (before != null) {
      return before.join(timeout);
    }
    Reservation memory = budget.open();
    if (mayRelay) {
      memory.forceGrow(spec.memoryBytes());
    } else if (!memory.tryGrow(spec.memoryBytes())) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.NOT_RUN_OVERLOADED, "there is no memory for the job"));
    }
    Optional<RecordParts> record = JobStore.encodeRecord(spec);
    if (record.isEmpty()) {
      memory.release();
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.NOT_RUN_OVERLOADED, "there is no room for a job of this size"));
    }
    JobOwner owner = ownership.newOwner(spec, record.get());
    Submission submission = new Submission(spec, record.get(), owner, mayRelay, memory);
    pending.put(spec.id(), submission);
    CompletableFuture<Result<JobAcknowledgement>> reply = submission.reply;
    submission.start(timeout);
    return reply;
  }

  /** A submission whose outcome is still open. */
  private final class Submission {
    private final JobSpec spec;
    private final RecordParts record;
    private final JobOwner owner;
    private final boolean mayRelay;
    private final Reservation memory;
    private final StoreAttempts attempts;
    private Optional<LeaseId> leaseAtStart = Optional.empty();
    private CompletableFuture<Result<JobAcknowledgement>> reply = new CompletableFuture<>();
    private boolean isWriteRetried;

    private Submission(
        JobSpec spec, RecordParts record, JobOwner owner, boolean mayRelay, Reservation memory) {
      this.spec = spec;
      this.record = record;
      this.owner = owner;
      this.mayRelay = mayRelay;
      this.memory = memory;
      this.attempts = earlierAttempts(spec.id());
    }

    private void start(Duration timeout) {
      if (isShuttingDown) {
        relayOnly(timeout);
        return;
      }
      Optional<EntryVmId> preferred = mayRelay ? ownership.preferredOwner(spec) : Optional.empty();
      if (preferred.isPresent()) {
        relayTo(preferred.get(), PREFERRED_OWNER_TIMEOUT)
            .thenAccept(result -> onPreferredOwnerReply(preferred.get(), result, timeout));
      } else {
        acceptHere(timeout);
      }
    }

    /**
     * Returns the outcome for another submission of the same job. If the earlier one was answered
     * while the outcome was unknown, this one waits for the write that is still being retried.
     */
    private CompletableFuture<Result<JobAcknowledgement>> join(Duration timeout) {
      if (reply.isDone() && reply.join() instanceof Result.Failure) {
        reply = new CompletableFuture<>();
        failAfter(timeout);
      }
      return reply;
    }

    private void failAfter(Duration timeout) {
      CompletableFuture<Result<JobAcknowledgement>> current = reply;
      timers.after(
          timeout,
          () ->
              current.complete(
                  failure(
                      ResultCode.NOT_RUN_DEADLINE,
                      ResultCode.OUTCOME_UNKNOWN_DEADLINE,
                      "the job was not confirmed in time")));
    }

    private void failOnExit() {
      reply.complete(
          failure(
              ResultCode.NOT_RUN_SHUTTING_DOWN,
              ResultCode.OUTCOME_UNKNOWN_SHUTTING_DOWN,
              "this daemon exits before the job is confirmed"));
    }

    private Result<JobAcknowledgement> failure(
        ResultCode notRun, ResultCode unknown, String message) {
      return Result.failure(attempts.failureCode(notRun, unknown), message);
    }

    private CompletableFuture<Result<JobAcknowledgement>> relayTo(EntryVmId vm, Duration timeout) {
      attempts.onRelayStarted();
      return remote
          .submit(vm, spec, timeout)
          .whenComplete((answer, unused) -> attempts.onRelayEnded(answer));
    }

    private void onPreferredOwnerReply(
        EntryVmId vm, Result<JobAcknowledgement> result, Duration timeout) {
      if (result instanceof Result.Success) {
        onAcceptedByPeer(vm, result);
        finish();
      } else if (isShuttingDown) {
        relayOnly(timeout);
      } else {
        acceptHere(timeout);
      }
    }

    private void acceptHere(Duration timeout) {
      if (mayRelay) {
        timers.after(RELAY_DELAY, this::relay);
      }
      create(timeout);
    }

    private void create(Duration timeout) {
      leaseAtStart = ownership.validLease();
      attempts.onWriteStarted();
      store.create(spec.id(), record, owner, timeout).thenAccept(this::onCreated);
    }

    /** Relays the job without storing it here, because this daemon is shutting down. */
    private void relayOnly(Duration timeout) {
      failAfter(timeout);
      relay();
      reply.thenAccept(unused -> finish());
    }

    private void relay() {
      if (!reply.isDone()) {
        relayToNext(remote.peers().iterator());
      }
    }

    /** Relays the job to the next peer, which may be able to reach the store. */
    private void relayToNext(Iterator<EntryVmId> peers) {
      if (reply.isDone()) {
        return;
      }
      if (!peers.hasNext()) {
        onNotRelayed();
        return;
      }
      EntryVmId vm = peers.next();
      relayTo(vm, RELAY_TIMEOUT).thenAccept(result -> onRelayed(vm, result, peers));
    }

    /** Waits on for the own write, if there is one; otherwise the submission has failed. */
    private void onNotRelayed() {
      if (!isShuttingDown) {
        return;
      }
      if (attempts.isWriteOpen()) {
        logger.atInfo().log("event=job_awaits_store job=%s reason=shutting_down", spec.id());
      } else {
        reply.complete(
            failure(
                ResultCode.NOT_RUN_SHUTTING_DOWN,
                ResultCode.OUTCOME_UNKNOWN_PEER_LOST,
                "this daemon is shutting down and no peer accepted the job"));
      }
    }

    private void onRelayed(
        EntryVmId vm, Result<JobAcknowledgement> result, Iterator<EntryVmId> peers) {
      if (result instanceof Result.Success) {
        onAcceptedByPeer(vm, result);
      } else {
        relayToNext(peers);
      }
    }

    private void onAcceptedByPeer(EntryVmId vm, Result<JobAcknowledgement> result) {
      logger.atInfo().log("event=job_accepted_by_peer job=%s vm=%s", spec.id(), vm);
      reply.complete(result);
    }

    private void onCreated(TransactionReply created) {
      attempts.onWriteEnded(created);
      if (created instanceof TransactionReply.Committed committed) {
        accepted(committed.revision());
      } else if (created instanceof TransactionReply.Conflict conflict) {
        exists(conflict);
      } else if (attempts.mayTakeEffect()) {
        onUnknown(created);
      } else {
        finish();
        logger.atWarning().log("event=job_refused job=%s reply=\"%s\"", spec.id(), created);
        reply.complete(
            Result.failure(ResultCode.NOT_RUN_OVERLOADED, "the store cannot accept the job now"));
      }
    }

    private void onUnknown(TransactionReply created) {
      logger.atWarning().log("event=job_outcome_unknown job=%s reply=\"%s\"", spec.id(), created);
      reply.complete(
          Result.failure(
              ResultCode.OUTCOME_UNKNOWN_DEADLINE,
              "the store did not confirm the job: " + created));
      boolean isAcceptedElsewhere = reply.join() instanceof Result.Success;
      boolean mayRetry = !isWriteRetried && !isAcceptedElsewhere;
      if (mayRetry && created instanceof TransactionReply.Unknown) {
        isWriteRetried = true;
        create(UNKNOWN_OUTCOME_RETRY_TIMEOUT);
      } else {
        finish();
      }
    }

    /** Ends a submission whose job this daemon does not own. */
    private void finish() {
      pending.remove(spec.id());
      memory.release();
      if (attempts.mayTakeEffect()) {
        undecided.put(spec.id(), attempts);
        timers.after(UNKNOWN_OUTCOME_RETRY_TIMEOUT, () -> undecided.remove(spec.id(), attempts));
      }
    }

    private void accepted(Revision revision) {
      pending.remove(spec.id());
      logger.atInfo().log(
          "event=job_accepted job=%s step=%d items=%d min_version=%s revision=%s",
          spec.id(), spec.step(), spec.items().size(), spec.minVersion(), revision);
      if (registry.owned(spec.id()).isEmpty()) {
        StoredOwner stored = new StoredOwner(spec.id(), owner, revision);
        ownership.registerAndStart(spec, stored, leaseAtStart, memory);
      } else {
        memory.release();
      }
      reply.complete(Result.success(JobAcknowledgement.ACCEPTED));
    }

    private void exists(TransactionReply.Conflict conflict) {
      Optional<StoredOwner> current =
          conflict.current().stream().flatMap(e -> JobStore.storedOwner(e).stream()).findFirst();
      if (current.isPresent() && current.get().owner().equals(owner)) {
        accepted(current.get().revision());
        return;
      }
      finish();
      logger.atInfo().log("event=job_known job=%s owner=%s", spec.id(), current);
      current.ifPresent(this::onExistingOwner);
      reply.complete(Result.success(JobAcknowledgement.ACCEPTED));
    }

    private void onExistingOwner(StoredOwner current) {
      registry.cacheOwner(current);
      if (ownership.isOrphan(current)) {
        ownership.takeOver(current);
      }
    }
  }
}
