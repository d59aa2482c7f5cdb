package org.amaranthstream.jobs;

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
import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Handler of job submissions. A job is accepted at most once, when the store has acknowledged it.
 *
 * <p>A submission is rejected only if no write of the job can still take effect. Otherwise its
 * outcome is unknown, and the write is retried, so that a job that was stored after all is run.
 * Used on one thread.
 */
final class JobAcceptor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time for which the write is retried after the caller has received an unknown outcome. */
  private static final Duration UNKNOWN_OUTCOME_RETRY_TIMEOUT = Duration.ofSeconds(30);

  /** Time before a submission is relayed to peers; a slow store may be equally slow for them. */
  private static final Duration RELAY_DELAY = Duration.ofMillis(900);

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
  private final Map<JobId, CompletableFuture<Result<JobAcknowledgement>>> pending = new HashMap<>();
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

  /** Accepts a job that a peer has relayed; it is not relayed further. */
  CompletableFuture<Result<JobAcknowledgement>> submitForPeer(JobSpec spec, Duration timeout) {
    if (isShuttingDown) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.NOT_RUN_OVERLOADED, "this daemon is shutting down"));
    }
    return accept(spec, timeout, false);
  }

  private CompletableFuture<Result<JobAcknowledgement>> accept(
      JobSpec spec, Duration timeout, boolean mayRelay) {
    if (registry.owned(spec.id()).isPresent() || registry.cachedOwner(spec.id()).isPresent()) {
      return CompletableFuture.completedFuture(Result.success(JobAcknowledgement.ACCEPTED));
    }
    CompletableFuture<Result<JobAcknowledgement>> before = pending.get(spec.id());
    if (before != null) {
      return before;
    }
    Reservation memory = budget.open();
    if (mayRelay) {
      memory.forceGrow(spec.memoryBytes());
    } else if (!memory.tryGrow(spec.memoryBytes())) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.NOT_RUN_OVERLOADED, "there is no memory for the job"));
    }
    CompletableFuture<Result<JobAcknowledgement>> reply = new CompletableFuture<>();
    pending.put(spec.id(), reply);
    byte[] record = JobStore.encodeRecord(spec);
    Submission submission =
        new Submission(spec, record, ownership.newOwner(spec, record), reply, mayRelay, memory);
    submission.start(timeout);
    return reply;
  }

  /** A submission whose outcome is still open. */
  private final class Submission {
    private final JobSpec spec;
    private final byte[] record;
    private final JobOwner owner;
    private final CompletableFuture<Result<JobAcknowledgement>> reply;
    private final boolean mayRelay;
    private final Reservation memory;
    private Optional<LeaseId> leaseAtStart = Optional.empty();
    private boolean isRelaying;
    private boolean mayBeAcceptedElsewhere;

    private Submission(
        JobSpec spec,
        byte[] record,
        JobOwner owner,
        CompletableFuture<Result<JobAcknowledgement>> reply,
        boolean mayRelay,
        Reservation memory) {
      this.spec = spec;
      this.record = record;
      this.owner = owner;
      this.reply = reply;
      this.mayRelay = mayRelay;
      this.memory = memory;
    }

    private void start(Duration timeout) {
      if (isShuttingDown) {
        relayOnly();
        return;
      }
      Optional<EntryVmId> preferred = mayRelay ? ownership.preferredOwner(spec) : Optional.empty();
      if (preferred.isPresent()) {
        remote
            .submit(preferred.get(), spec, PREFERRED_OWNER_TIMEOUT)
            .thenAccept(result -> onPreferredOwnerReply(preferred.get(), result, timeout));
      } else {
        acceptHere(timeout);
      }
    }

    private void onPreferredOwnerReply(
        EntryVmId vm, Result<JobAcknowledgement> result, Duration timeout) {
      if (result instanceof Result.Success) {
        onAcceptedByPeer(vm, result);
        finish();
        return;
      }
      mayBeAcceptedElsewhere |= !isNotRun(result);
      if (isShuttingDown) {
        relayOnly();
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
      store.create(spec.id(), record, owner, timeout).thenAccept(this::onCreated);
    }

    /** Relays the job without storing it here, because this daemon is shutting down. */
    private void relayOnly() {
      relay();
      reply.thenAccept(unused -> finish());
    }

    private void relay() {
      if (!reply.isDone()) {
        isRelaying = true;
        relayTo(remote.peers().iterator());
      }
    }

    /** Relays the job to the next peer, which may be able to reach the store. */
    private void relayTo(Iterator<EntryVmId> peers) {
      if (reply.isDone() || !peers.hasNext()) {
        isRelaying = false;
        onNotRelayed();
        return;
      }
      EntryVmId vm = peers.next();
      remote.submit(vm, spec).thenAccept(result -> onRelayed(vm, result, peers));
    }

    private void onNotRelayed() {
      if (isShuttingDown && !reply.isDone()) {
        ResultCode code =
            mayBeAcceptedElsewhere
                ? ResultCode.OUTCOME_UNKNOWN_PEER_LOST
                : ResultCode.NOT_RUN_SHUTTING_DOWN;
        reply.complete(
            Result.failure(code, "this daemon is shutting down and no peer accepted the job"));
      }
    }

    private void onRelayed(
        EntryVmId vm, Result<JobAcknowledgement> result, Iterator<EntryVmId> peers) {
      if (result instanceof Result.Success) {
        onAcceptedByPeer(vm, result);
        return;
      }
      mayBeAcceptedElsewhere |= !isNotRun(result);
      relayTo(peers);
    }

    private void onAcceptedByPeer(EntryVmId vm, Result<JobAcknowledgement> result) {
      logger.atInfo().log("event=job_accepted_by_peer job=%s vm=%s", spec.id(), vm);
      reply.complete(result);
    }

    /** Returns true if the peer has definitely not accepted the job and will not. */
    private static boolean isNotRun(Result<JobAcknowledgement> result) {
      ResultCode code = ((Result.Failure<JobAcknowledgement>) result).error().code();
      return code == ResultCode.NOT_RUN_OVERLOADED || PeerQueryService.isNotSent(code);
    }

    private void onCreated(TransactionReply created) {
      if (created instanceof TransactionReply.Committed committed) {
        accepted(committed.revision());
      } else if (created instanceof TransactionReply.Conflict conflict) {
        exists(conflict);
      } else if (created instanceof TransactionReply.Unknown || mayBePendingElsewhere()) {
        onUnknown(created);
      } else {
        finish();
        logger.atWarning().log("event=job_refused job=%s reply=\"%s\"", spec.id(), created);
        reply.complete(
            Result.failure(ResultCode.NOT_RUN_OVERLOADED, "the store cannot accept the job now"));
      }
    }

    private boolean mayBePendingElsewhere() {
      return isRelaying || mayBeAcceptedElsewhere;
    }

    private void onUnknown(TransactionReply created) {
      boolean isFirst = !reply.isDone();
      logger.atWarning().log("event=job_outcome_unknown job=%s reply=\"%s\"", spec.id(), created);
      reply.complete(
          Result.failure(
              ResultCode.OUTCOME_UNKNOWN_DEADLINE,
              "the store did not confirm the job: " + created));
      if (isFirst && created instanceof TransactionReply.Unknown) {
        create(UNKNOWN_OUTCOME_RETRY_TIMEOUT);
      } else {
        finish();
      }
    }

    /** Ends a submission whose job this daemon does not own. */
    private void finish() {
      pending.remove(spec.id());
      memory.release();
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
