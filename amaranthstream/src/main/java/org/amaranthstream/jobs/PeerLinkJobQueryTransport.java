package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.FleetLinks;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.jobs.wire.JobAnswer;
import org.amaranthstream.jobs.wire.JobQuestion;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Transport of queries about jobs over peer links. Used on one thread. */
public final class PeerLinkJobQueryTransport implements JobQueryTransport {
  private final FleetLinks links;

  private PeerLinkJobQueryTransport(FleetLinks links) {
    this.links = links;
  }

  /** Returns a transport over {@code links}. */
  public static PeerLinkJobQueryTransport over(FleetLinks links) {
    return new PeerLinkJobQueryTransport(checkNotNull(links, "links"));
  }

  /** Passes queries from other daemons to {@code handler}. */
  public void serve(JobQueryHandler handler) {
    links.register(
        QueryKind.JOB, (LocalVm from, byte[] body, Duration timeout) -> handle(handler, body));
  }

  private static CompletableFuture<Result<byte[]>> handle(JobQueryHandler handler, byte[] body) {
    try {
      return handler
          .handle(JobQuestion.parseFrom(body))
          .thenApply(response -> Result.success(response.toByteArray()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.INVALID_REQUEST, "the job query cannot be decoded: " + e));
    }
  }

  @Override
  public CompletableFuture<Result<JobAnswer>> query(
      EntryVmId vm, JobQuestion query, Duration timeout) {
    return links
        .query(vm, QueryKind.JOB, query.toByteArray(), timeout)
        .thenApply(result -> result.flatMap(PeerLinkJobQueryTransport::decode));
  }

  private static Result<JobAnswer> decode(byte[] body) {
    try {
      return Result.success(JobAnswer.parseFrom(body));
    } catch (InvalidProtocolBufferException e) {
      return Result.failure(
          ResultCode.INTERNAL, "the response to a job query cannot be decoded: " + e);
    }
  }
}
