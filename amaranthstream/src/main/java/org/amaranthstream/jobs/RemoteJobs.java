package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.jobs.wire.BodyQuestion;
import org.amaranthstream.jobs.wire.EndQuestion;
import org.amaranthstream.jobs.wire.JobAnswer;
import org.amaranthstream.jobs.wire.JobQuestion;
import org.amaranthstream.jobs.wire.ReadQuestion;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Asks the owners of jobs over peer links. */
final class RemoteJobs {
  /**
   * A peer that does not answer within this time, beside the wait it was asked for, is passed by.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(700);

  private static final Duration END_TIMEOUT = Duration.ofMillis(1_500);

  private final JobPeers peers;
  private final Fleet fleet;

  RemoteJobs(JobPeers peers, Fleet fleet) {
    this.peers = peers;
    this.fleet = fleet;
  }

  CompletableFuture<Result<ResultSlice>> read(
      StoredOwner owner, int position, Duration wait, int maxBytes) {
    JobQuestion question =
        question(owner)
            .setRead(
                ReadQuestion.newBuilder()
                    .setAfter(position)
                    .setWaitMs(wait.toMillis())
                    .setMaxBytes(maxBytes))
            .build();
    return ask(owner, question, ANSWER_TIMEOUT.plus(wait))
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
                .map(JobCodec::decode)
                .collect(ImmutableList.toImmutableList())));
  }

  CompletableFuture<Result<byte[]>> body(StoredOwner owner, ItemId item) {
    JobQuestion question =
        question(owner).setItemBody(BodyQuestion.newBuilder().setItem(item.value())).build();
    return ask(owner, question, ANSWER_TIMEOUT).thenApply(r -> r.flatMap(a -> bodyOf(a, item)));
  }

  private static Result<byte[]> bodyOf(JobAnswer answer, ItemId item) {
    if (!answer.hasItemBody()) {
      return notOwner(answer);
    }
    return answer.getItemBody().getFound()
        ? Result.success(answer.getItemBody().getBody().toByteArray())
        : Result.failure(ResultCode.UNKNOWN_ITEM, "there is no item " + item);
  }

  CompletableFuture<Result<JobDone>> end(StoredOwner owner) {
    JobQuestion question = question(owner).setEnd(EndQuestion.getDefaultInstance()).build();
    return ask(owner, question, END_TIMEOUT).thenApply(r -> r.flatMap(RemoteJobs::ended));
  }

  private static Result<JobDone> ended(JobAnswer answer) {
    return answer.hasEnd() && answer.getEnd().getEnded()
        ? Result.success(JobDone.ENDED)
        : notOwner(answer);
  }

  private static <T> Result<T> notOwner(JobAnswer answer) {
    return Result.failure(
        ResultCode.PEER_UNREACHABLE, "the peer does not own the job: " + answer.getBodyCase());
  }

  private static JobQuestion.Builder question(StoredOwner owner) {
    return JobQuestion.newBuilder().setJob(owner.job().value());
  }

  private CompletableFuture<Result<JobAnswer>> ask(
      StoredOwner owner, JobQuestion question, Duration timeout) {
    if (!fleet.isAlive(owner.owner().vm(), owner.owner().incarnation())) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.PEER_UNREACHABLE, "the owner is not registered"));
    }
    return peers.ask(owner.owner().vm(), question, timeout);
  }
}
