package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.jobs.wire.BodyQuestion;
import org.amaranthstream.jobs.wire.EndQuestion;
import org.amaranthstream.jobs.wire.HandoverQuestion;
import org.amaranthstream.jobs.wire.JobAnswer;
import org.amaranthstream.jobs.wire.JobQuestion;
import org.amaranthstream.jobs.wire.ReadQuestion;
import org.amaranthstream.jobs.wire.SubmitQuestion;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Asks the owners of jobs over peer links. */
final class RemoteJobs {
  /**
   * A peer that does not answer within this time, beside the wait it was asked for, is passed by.
   */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);

  private static final Duration END_TIMEOUT = Duration.ofMillis(1_500);

  private static final Duration SUBMIT_TIMEOUT = Duration.ofMillis(3_500);
  private static final Duration HANDOFF_TIMEOUT = Duration.ofMillis(1_000);
  private static final int MAX_QUERIED_PEERS = 12;

  private final EntryVmId self;
  private final JobQueryTransport transport;
  private final Fleet fleet;

  RemoteJobs(EntryVmId self, JobQueryTransport transport, Fleet fleet) {
    this.self = self;
    this.transport = transport;
    this.fleet = fleet;
  }

  CompletableFuture<Result<ResultSlice>> read(
      EntryVmId vm, JobId job, int position, Duration wait, int maxBytes) {
    JobQuestion query =
        newQuery(job)
            .setRead(
                ReadQuestion.newBuilder()
                    .setAfter(position)
                    .setWaitMs(wait.toMillis())
                    .setMaxBytes(maxBytes))
            .build();
    return transport
        .query(vm, query, RESPONSE_TIMEOUT.plus(wait))
        .thenApply(result -> result.flatMap(answer -> slice(answer, position)));
  }

  private static Result<ResultSlice> slice(JobAnswer answer, int position) {
    if (!answer.hasRead()) {
      return notOwner(answer);
    }
    return Result.success(
        new ResultSlice(
            answer.getRead().getTotal(),
            position,
            answer.getRead().getResultList().stream()
                .map(JobCodec::decodeResult)
                .collect(ImmutableList.toImmutableList())));
  }

  CompletableFuture<Result<byte[]>> body(EntryVmId vm, JobId job, ItemId item) {
    JobQuestion query =
        newQuery(job).setItemBody(BodyQuestion.newBuilder().setItem(item.value())).build();
    return transport
        .query(vm, query, RESPONSE_TIMEOUT)
        .thenApply(r -> r.flatMap(a -> bodyOf(a, item)));
  }

  private static Result<byte[]> bodyOf(JobAnswer answer, ItemId item) {
    if (!answer.hasItemBody()) {
      return notOwner(answer);
    }
    return answer.getItemBody().getFound()
        ? Result.success(answer.getItemBody().getBody().toByteArray())
        : Result.failure(ResultCode.UNKNOWN_ITEM, "there is no item " + item);
  }

  CompletableFuture<Result<JobAcknowledgement>> end(EntryVmId vm, JobId job) {
    JobQuestion query = newQuery(job).setEnd(EndQuestion.getDefaultInstance()).build();
    return transport.query(vm, query, END_TIMEOUT).thenApply(r -> r.flatMap(RemoteJobs::ended));
  }

  private static Result<JobAcknowledgement> ended(JobAnswer answer) {
    return answer.hasEnd() && answer.getEnd().getEnded()
        ? Result.success(JobAcknowledgement.ENDED)
        : notOwner(answer);
  }

  private static <T> Result<T> notOwner(JobAnswer answer) {
    return Result.failure(
        ResultCode.PEER_UNREACHABLE, "the peer does not own the job: " + answer.getBodyCase());
  }

  private static JobQuestion.Builder newQuery(JobId job) {
    return JobQuestion.newBuilder().setJob(job.value());
  }

  /** Passes a submission on to another daemon, which accepts it in its own name. */
  CompletableFuture<Result<JobAcknowledgement>> submit(EntryVmId vm, JobSpec spec) {
    JobQuestion query =
        newQuery(spec.id())
            .setSubmit(SubmitQuestion.newBuilder().setRecord(JobCodec.encodeJob(spec)))
            .build();
    return transport
        .query(vm, query, SUBMIT_TIMEOUT)
        .thenApply(r -> r.flatMap(RemoteJobs::accepted));
  }

  private static Result<JobAcknowledgement> accepted(JobAnswer answer) {
    return switch (answer.getSubmit().getOutcome()) {
      case JobQueryHandler.OUTCOME_ACCEPTED -> Result.success(JobAcknowledgement.ACCEPTED);
      case JobQueryHandler.OUTCOME_REFUSED ->
          Result.failure(ResultCode.NOT_RUN_OVERLOADED, "the peer refuses the job");
      default -> Result.failure(ResultCode.OUTCOME_UNKNOWN_PEER_LOST, "the peer does not know yet");
    };
  }

  /** Asks another daemon to take a job over. */
  CompletableFuture<Result<JobAcknowledgement>> handOff(
      EntryVmId vm, StoredOwner owner, ImmutableList<ItemPartial> partials) {
    HandoverQuestion.Builder handover =
        HandoverQuestion.newBuilder()
            .setOwner(JobCodec.ownerRecord(owner.owner()))
            .setRevision(owner.revision().value());
    partials.forEach(partial -> handover.addPartial(JobCodec.encodePartial(partial)));
    JobQuestion query = newQuery(owner.job()).setHandover(handover).build();
    return transport
        .query(vm, query, HANDOFF_TIMEOUT)
        .thenApply(r -> r.flatMap(RemoteJobs::handedOff));
  }

  private static Result<JobAcknowledgement> handedOff(JobAnswer answer) {
    return answer.hasHandover() && answer.getHandover().getTaken()
        ? Result.success(JobAcknowledgement.ACCEPTED)
        : notOwner(answer);
  }

  /**
   * Returns other daemons to ask when the owner is not known, at most {@link #MAX_QUERIED_PEERS}.
   */
  ImmutableList<EntryVmId> peers() {
    return fleet.othersThan(self).stream()
        .limit(MAX_QUERIED_PEERS)
        .collect(ImmutableList.toImmutableList());
  }
}
