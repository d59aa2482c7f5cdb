package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.jobs.wire.BodyAnswer;
import org.amaranthstream.jobs.wire.EndAnswer;
import org.amaranthstream.jobs.wire.HandoverAnswer;
import org.amaranthstream.jobs.wire.HandoverQuestion;
import org.amaranthstream.jobs.wire.JobAnswer;
import org.amaranthstream.jobs.wire.JobQuestion;
import org.amaranthstream.jobs.wire.NotOwner;
import org.amaranthstream.jobs.wire.ReadAnswer;
import org.amaranthstream.jobs.wire.ReadQuestion;
import org.amaranthstream.jobs.wire.SubmitAnswer;
import org.amaranthstream.jobs.wire.SubmitQuestion;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Handler of queries from peers about jobs that this daemon owns.
 *
 * <p>Used on one thread.
 */
public final class JobQueryHandler {
  private static final Duration MAX_WAIT = Duration.ofSeconds(1);
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(2);
  private static final JobAnswer NOT_OWNER =
      JobAnswer.newBuilder().setNotOwner(NotOwner.getDefaultInstance()).build();

  /** Outcomes of a relayed submission, as sent to the peer. */
  static final int OUTCOME_UNKNOWN = 0;

  static final int OUTCOME_ACCEPTED = 1;
  static final int OUTCOME_REFUSED = 2;

  private final JobService service;
  private final OwnershipCheck ownership;
  private final OwnedJobOperations operations;

  JobQueryHandler(JobService service, OwnershipCheck ownership, OwnedJobOperations operations) {
    this.service = service;
    this.ownership = ownership;
    this.operations = operations;
  }

  /**
   * Handles a query. The response to a read, a body query or an end is {@code NotOwner} if this
   * daemon does not own the job, also if a job of another workspace has the same text.
   *
   * @throws IllegalArgumentException if an id in the query is malformed
   */
  public CompletableFuture<JobAnswer> handle(JobQuestion query) {
    if (query.hasSubmit()) {
      return submit(query.getSubmit());
    }
    if (query.hasHandover()) {
      return takeOver(jobOf(query), query.getHandover());
    }
    return ownership
        .owned(jobOf(query))
        .thenCompose(
            job ->
                job.isEmpty()
                    ? CompletableFuture.completedFuture(NOT_OWNER)
                    : handleAsOwner(job.get(), query));
  }

  private CompletableFuture<JobAnswer> handleAsOwner(OwnedJob job, JobQuestion query) {
    return switch (query.getBodyCase()) {
      case READ -> read(job, query.getRead());
      case ITEM_BODY ->
          operations
              .body(job, ItemId.of(query.getItemBody().getItem()))
              .thenApply(JobQueryHandler::body);
      case END -> operations.end(job).thenApply(JobQueryHandler::ended);
      case SUBMIT, HANDOVER, BODY_NOT_SET -> CompletableFuture.completedFuture(NOT_OWNER);
    };
  }

  private static JobId jobOf(JobQuestion query) {
    return JobId.of(
        query.hasWorkspace() ? Optional.of(WorkspaceId.of(query.getWorkspace())) : Optional.empty(),
        query.getJob());
  }

  private CompletableFuture<JobAnswer> read(OwnedJob job, ReadQuestion query) {
    Duration requested = Duration.ofMillis(query.getWaitMs());
    Duration wait = requested.compareTo(MAX_WAIT) < 0 ? requested : MAX_WAIT;
    return operations
        .read(job, query.getAfter(), wait, query.getMaxBytes())
        .thenApply(JobQueryHandler::slice);
  }

  private static JobAnswer slice(Result<ResultSlice> result) {
    if (!(result instanceof Result.Success<ResultSlice> success)) {
      return NOT_OWNER;
    }
    ReadAnswer.Builder response = ReadAnswer.newBuilder().setTotal(success.value().total());
    success.value().results().forEach(r -> response.addResult(JobCodec.encodeResult(r)));
    return JobAnswer.newBuilder().setRead(response).build();
  }

  private static JobAnswer body(Result<byte[]> result) {
    BodyAnswer.Builder response = BodyAnswer.newBuilder();
    if (result instanceof Result.Success<byte[]> success) {
      response.setFound(true).setBody(ByteString.copyFrom(success.value()));
    } else if (((Result.Failure<byte[]>) result).error().code() != ResultCode.UNKNOWN_ITEM) {
      return NOT_OWNER;
    }
    return JobAnswer.newBuilder().setItemBody(response).build();
  }

  private static JobAnswer ended(Result<JobAcknowledgement> result) {
    boolean isEnded = result instanceof Result.Success;
    return JobAnswer.newBuilder().setEnd(EndAnswer.newBuilder().setEnded(isEnded)).build();
  }

  private CompletableFuture<JobAnswer> takeOver(JobId job, HandoverQuestion query) {
    StoredOwner before =
        new StoredOwner(job, JobCodec.owner(query.getOwner()), Revision.of(query.getRevision()));
    ImmutableList<PartialOutput> partials =
        query.getPartialList().stream()
            .map(JobCodec::decodePartial)
            .collect(ImmutableList.toImmutableList());
    CompletableFuture<Boolean> mayTakeOver =
        query.getMustReachServers()
            ? service.reachesServers(query.getHost(), query.getPath())
            : CompletableFuture.completedFuture(true);
    return mayTakeOver
        .thenCompose(
            isAllowed ->
                isAllowed
                    ? service.takeOver(before, partials)
                    : CompletableFuture.completedFuture(TakeoverOutcome.NOT_TAKEN))
        .thenApply(JobQueryHandler::handedOver);
  }

  /** Returns the answer to a handoff; an unknown outcome is no answer to it. */
  private static JobAnswer handedOver(TakeoverOutcome outcome) {
    boolean isTaken = outcome == TakeoverOutcome.TAKEN;
    return outcome == TakeoverOutcome.UNKNOWN
        ? NOT_OWNER
        : JobAnswer.newBuilder().setHandover(HandoverAnswer.newBuilder().setTaken(isTaken)).build();
  }

  private CompletableFuture<JobAnswer> submit(SubmitQuestion query) {
    return service
        .submitForPeer(JobCodec.decodeJob(query.getRecord()), SUBMIT_TIMEOUT)
        .thenApply(JobQueryHandler::submitted);
  }

  private static JobAnswer submitted(Result<JobAcknowledgement> result) {
    int outcome = OUTCOME_ACCEPTED;
    if (result instanceof Result.Failure<JobAcknowledgement> failure) {
      boolean isRefused = failure.error().code() == ResultCode.NOT_RUN_OVERLOADED;
      outcome = isRefused ? OUTCOME_REFUSED : OUTCOME_UNKNOWN;
    }
    return JobAnswer.newBuilder().setSubmit(SubmitAnswer.newBuilder().setOutcome(outcome)).build();
  }
}
