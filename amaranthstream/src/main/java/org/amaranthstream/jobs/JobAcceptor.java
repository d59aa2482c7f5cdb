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
import org.amaranthstream.ids.Revision;
import org.amaranthstream.peer.PeerQuery;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Accepts jobs: a job is accepted once the store has acknowledged it, and once only.
 *
 * <p>A refusal is given only if no write of the job can take effect any more; otherwise the outcome
 * is unknown, and the write is pursued so that a job that was accepted after all runs. Used on one
 * thread.
 */
final class JobAcceptor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration UNKNOWN_OUTCOME_RETRY_TIMEOUT = Duration.ofSeconds(30);

  /** The store may be slow for everybody; another daemon is asked only after this time. */
  private static final Duration RELAY_DELAY = Duration.ofMillis(900);

  private final JobStore store;
  private final JobRegistry registry;
  private final JobOwnershipManager ownership;
  private final RemoteJobs remote;
  private final TimerService timers;
  private final Map<JobId, CompletableFuture<Result<JobAcknowledgement>>> pending = new HashMap<>();
  private boolean isShuttingDown;

  JobAcceptor(
      JobStore store,
      JobRegistry registry,
      JobOwnershipManager ownership,
      RemoteJobs remote,
      TimerService timers) {
    this.store = store;
    this.registry = registry;
    this.ownership = ownership;
    this.remote = remote;
    this.timers = timers;
  }

  /** Accepts no job in this daemon's name any more. */
  void stopAccepting() {
    isShuttingDown = true;
  }

  /** Accepts a job; a job that was accepted before, here or elsewhere, is accepted again. */
  CompletableFuture<Result<JobAcknowledgement>> submit(JobSpec spec, Duration timeout) {
    return accept(spec, timeout, true);
  }

  /** Accepts a job that another daemon passes on; it is not passed on further. */
  CompletableFuture<Result<JobAcknowledgement>> submitForPeer(JobSpec spec, Duration timeout) {
    if (isShuttingDown) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.NOT_RUN_OVERLOADED, "this daemon is about to end"));
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
    CompletableFuture<Result<JobAcknowledgement>> reply = new CompletableFuture<>();
    pending.put(spec.id(), reply);
    byte[] record = JobStore.encodeRecord(spec);
    Submission submission =
        new Submission(spec, record, ownership.newOwner(spec, record), reply, mayRelay);
    submission.start(timeout);
    return reply;
  }

  private final class Submission {
    private final JobSpec spec;
    private final byte[] record;
    private final JobOwner owner;
    private final CompletableFuture<Result<JobAcknowledgement>> reply;
    private final boolean mayRelay;
    private boolean isRelaying;
    private boolean mayBeAcceptedElsewhere;

    private Submission(
        JobSpec spec,
        byte[] record,
        JobOwner owner,
        CompletableFuture<Result<JobAcknowledgement>> reply,
        boolean mayRelay) {
      this.spec = spec;
      this.record = record;
      this.owner = owner;
      this.reply = reply;
      this.mayRelay = mayRelay;
    }

    private void start(Duration timeout) {
      if (isShuttingDown) {
        relayOnly();
        return;
      }
      if (mayRelay) {
        timers.after(RELAY_DELAY, this::relay);
      }
      create(timeout);
    }

    private void create(Duration timeout) {
      store.create(spec.id(), record, owner, timeout).thenAccept(this::onCreated);
    }

    /** This daemon is about to end: another one accepts the job, or nobody does. */
    private void relayOnly() {
      relay();
      reply.thenAccept(unused -> pending.remove(spec.id()));
    }

    private void relay() {
      if (!reply.isDone()) {
        isRelaying = true;
        relayTo(remote.peers().iterator());
      }
    }

    /** Lets another daemon, which may reach the store, accept the job. */
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
        reply.complete(Result.failure(code, "no other daemon took the job"));
      }
    }

    private void onRelayed(
        EntryVmId vm, Result<JobAcknowledgement> result, Iterator<EntryVmId> peers) {
      if (result instanceof Result.Success) {
        logger.atInfo().log("event=job_accepted_by_peer job=%s vm=%s", spec.id(), vm);
        reply.complete(result);
        return;
      }
      ResultCode code = ((Result.Failure<JobAcknowledgement>) result).error().code();
      boolean isNotRun = code == ResultCode.NOT_RUN_OVERLOADED || PeerQuery.isNotSent(code);
      mayBeAcceptedElsewhere |= !isNotRun;
      relayTo(peers);
    }

    private void onCreated(TransactionReply created) {
      if (created instanceof TransactionReply.Committed committed) {
        accepted(committed.revision());
      } else if (created instanceof TransactionReply.Conflict conflict) {
        exists(conflict);
      } else if (created instanceof TransactionReply.Unknown || mayBePendingElsewhere()) {
        onUnknown(created);
      } else {
        pending.remove(spec.id());
        logger.atWarning().log("event=job_refused job=%s reply=\"%s\"", spec.id(), created);
        reply.complete(
            Result.failure(ResultCode.NOT_RUN_OVERLOADED, "the store cannot take the job now"));
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
              ResultCode.OUTCOME_UNKNOWN_DEADLINE, "the store did not answer: " + created));
      if (isFirst && created instanceof TransactionReply.Unknown) {
        create(UNKNOWN_OUTCOME_RETRY_TIMEOUT);
      } else {
        pending.remove(spec.id());
      }
    }

    private void accepted(Revision revision) {
      pending.remove(spec.id());
      logger.atInfo().log(
          "event=job_accepted job=%s step=%d items=%d min_version=%s revision=%s",
          spec.id(), spec.step(), spec.items().size(), spec.minVersion(), revision);
      if (registry.owned(spec.id()).isEmpty()) {
        ownership.registerAndStart(
            spec,
            new StoredOwner(spec.id(), owner, revision),
            ImmutableList.of(),
            SavedProgress.none());
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
      pending.remove(spec.id());
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
