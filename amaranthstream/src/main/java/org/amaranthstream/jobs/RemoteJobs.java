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
import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Client for jobs that other daemons own. */
final class RemoteJobs {
  /**
   * How long to wait for a response, in addition to the wait that the query requests of the peer.
   */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);

  private static final Duration END_TIMEOUT = Duration.ofMillis(1_500);

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
        .thenApply(result -> result.flatMap(response -> slice(response, position)));
  }

  private static Result<ResultSlice> slice(JobAnswer response, int position) {
    if (!response.hasRead()) {
      return notOwner(response);
    }
    return Result.success(
        new ResultSlice(
            response.getRead().getTotal(),
            position,
            response.getRead().getResultList().stream()
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

  private static Result<byte[]> bodyOf(JobAnswer response, ItemId item) {
    if (!response.hasItemBody()) {
      return notOwner(response);
    }
    return response.getItemBody().getFound()
        ? Result.success(response.getItemBody().getBody().toByteArray())
        : Result.failure(ResultCode.UNKNOWN_ITEM, "the job has no item " + item);
  }

  CompletableFuture<Result<JobAcknowledgement>> end(EntryVmId vm, JobId job) {
    JobQuestion query = newQuery(job).setEnd(EndQuestion.getDefaultInstance()).build();
    return transport.query(vm, query, END_TIMEOUT).thenApply(r -> r.flatMap(RemoteJobs::ended));
  }

  private static Result<JobAcknowledgement> ended(JobAnswer response) {
    return response.hasEnd() && response.getEnd().getEnded()
        ? Result.success(JobAcknowledgement.ENDED)
        : notOwner(response);
  }

  private static <T> Result<T> notOwner(JobAnswer response) {
    return Result.failure(
        ResultCode.PEER_UNREACHABLE, "the peer does not own the job: " + response.getBodyCase());
  }

  private static JobQuestion.Builder newQuery(JobId job) {
    JobQuestion.Builder query = JobQuestion.newBuilder().setJob(job.value());
    job.workspace().ifPresent(workspace -> query.setWorkspace(workspace.value()));
    return query;
  }

  /**
   * Relays a submission to another daemon, which becomes the owner if it accepts the job.
   *
   * @param timeout the time to wait for the answer
   */
  CompletableFuture<Result<JobAcknowledgement>> submit(
      EntryVmId vm, JobSpec spec, Duration timeout) {
    JobQuestion query =
        newQuery(spec.id())
            .setSubmit(SubmitQuestion.newBuilder().setRecord(JobCodec.encodeJob(spec)))
            .build();
    return transport.query(vm, query, timeout).thenApply(r -> r.flatMap(RemoteJobs::accepted));
  }

  private static Result<JobAcknowledgement> accepted(JobAnswer response) {
    return switch (response.getSubmit().getOutcome()) {
      case JobQueryHandler.OUTCOME_ACCEPTED -> Result.success(JobAcknowledgement.ACCEPTED);
      case JobQueryHandler.OUTCOME_REFUSED ->
          Result.failure(ResultCode.NOT_RUN_OVERLOADED, "the peer rejected the job");
      default ->
          Result.failure(
              ResultCode.OUTCOME_UNKNOWN_PEER_LOST,
              "the peer could not determine whether the job is stored");
    };
  }

  /** Offers a job to another daemon for takeover. */
  CompletableFuture<TakeoverOutcome> handOff(
      EntryVmId vm, OwnedJob job, HandoffCondition condition) {
    StoredOwner owner = job.owner();
    HandoverQuestion.Builder handover =
        HandoverQuestion.newBuilder()
            .setHost(job.spec().host())
            .setPath(job.spec().path())
            .setMustReachServers(condition == HandoffCondition.REACHES_SERVERS)
            .setOwner(JobCodec.ownerRecord(owner.owner()))
            .setRevision(owner.revision().value());
    job.partials().forEach(partial -> handover.addPartial(JobCodec.encodePartial(partial)));
    JobQuestion query = newQuery(owner.job()).setHandover(handover).build();
    return transport.query(vm, query, HANDOFF_TIMEOUT).thenApply(RemoteJobs::handedOff);
  }

  private static TakeoverOutcome handedOff(Result<JobAnswer> result) {
    if (result instanceof Result.Failure<JobAnswer> failure) {
      return PeerQueryService.isNotSent(failure.error().code())
          ? TakeoverOutcome.NOT_TAKEN
          : TakeoverOutcome.UNKNOWN;
    }
    JobAnswer response = ((Result.Success<JobAnswer>) result).value();
    if (!response.hasHandover()) {
      return TakeoverOutcome.UNKNOWN;
    }
    return response.getHandover().getTaken() ? TakeoverOutcome.TAKEN : TakeoverOutcome.NOT_TAKEN;
  }

  /** Returns the peers to call, at most {@link #MAX_QUERIED_PEERS}. */
  ImmutableList<EntryVmId> peers() {
    return fleet.othersThan(self).stream()
        .limit(MAX_QUERIED_PEERS)
        .collect(ImmutableList.toImmutableList());
  }
}
