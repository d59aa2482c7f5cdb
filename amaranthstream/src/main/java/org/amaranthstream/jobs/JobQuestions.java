package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.Revision;
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
 * Answers the questions of other daemons about jobs that this daemon owns.
 *
 * <p>Used on one thread.
 */
public final class JobQuestions {
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);
  private static final Duration SUBMIT_PATIENCE = Duration.ofSeconds(2);
  private static final JobAnswer NOT_OWNER =
      JobAnswer.newBuilder().setNotOwner(NotOwner.getDefaultInstance()).build();

  /** Outcomes of a submission that was passed on. */
  static final int OUTCOME_UNKNOWN = 0;

  static final int OUTCOME_ACCEPTED = 1;
  static final int OUTCOME_REFUSED = 2;

  private final JobService service;
  private final JobBook book;
  private final JobDesk desk;

  JobQuestions(JobService service, JobBook book, JobDesk desk) {
    this.service = service;
    this.book = book;
    this.desk = desk;
  }

  /**
   * Answers a question.
   *
   * @throws IllegalArgumentException if an id of the question is malformed
   */
  public CompletableFuture<JobAnswer> answer(JobQuestion question) {
    if (question.hasSubmit()) {
      return submit(question.getSubmit());
    }
    if (question.hasHandover()) {
      return takeOver(JobId.of(question.getJob()), question.getHandover());
    }
    Optional<OwnedJob> job = book.owned(JobId.of(question.getJob()));
    if (job.isEmpty()) {
      return CompletableFuture.completedFuture(NOT_OWNER);
    }
    return switch (question.getBodyCase()) {
      case READ -> read(job.get(), question.getRead());
      case ITEM_BODY ->
          CompletableFuture.completedFuture(
              body(JobDesk.bodyOf(job.get().spec(), ItemId.of(question.getItemBody().getItem()))));
      case END -> desk.end(job.get()).thenApply(JobQuestions::ended);
      case SUBMIT, HANDOVER, BODY_NOT_SET -> CompletableFuture.completedFuture(NOT_OWNER);
    };
  }

  private CompletableFuture<JobAnswer> read(OwnedJob job, ReadQuestion question) {
    Duration asked = Duration.ofMillis(question.getWaitMs());
    Duration wait = asked.compareTo(LONGEST_WAIT) < 0 ? asked : LONGEST_WAIT;
    return desk.read(job, question.getAfter(), wait, question.getMaxBytes())
        .thenApply(JobQuestions::slice);
  }

  private static JobAnswer slice(Result<ResultSlice> result) {
    if (!(result instanceof Result.Success<ResultSlice> success)) {
      return NOT_OWNER;
    }
    ReadAnswer.Builder answer = ReadAnswer.newBuilder().setTotal(success.value().total());
    success.value().results().forEach(r -> answer.addResult(JobCodec.encodeResult(r)));
    return JobAnswer.newBuilder().setRead(answer).build();
  }

  private static JobAnswer body(Result<byte[]> result) {
    BodyAnswer.Builder answer = BodyAnswer.newBuilder();
    if (result instanceof Result.Success<byte[]> success) {
      answer.setFound(true).setBody(ByteString.copyFrom(success.value()));
    }
    return JobAnswer.newBuilder().setItemBody(answer).build();
  }

  private static JobAnswer ended(Result<JobDone> result) {
    boolean isEnded = result instanceof Result.Success;
    return JobAnswer.newBuilder().setEnd(EndAnswer.newBuilder().setEnded(isEnded)).build();
  }

  private CompletableFuture<JobAnswer> takeOver(JobId job, HandoverQuestion question) {
    StoredOwner before =
        new StoredOwner(
            job, JobCodec.owner(question.getOwner()), Revision.of(question.getRevision()));
    ImmutableList<PartialOutput> partials =
        question.getPartialList().stream()
            .map(JobCodec::decodePartial)
            .collect(ImmutableList.toImmutableList());
    return service
        .takeOver(before, partials)
        .thenApply(
            isTaken ->
                JobAnswer.newBuilder()
                    .setHandover(HandoverAnswer.newBuilder().setTaken(isTaken))
                    .build());
  }

  private CompletableFuture<JobAnswer> submit(SubmitQuestion question) {
    return service
        .submitForPeer(JobCodec.decodeJob(question.getRecord()), SUBMIT_PATIENCE)
        .thenApply(JobQuestions::submitted);
  }

  private static JobAnswer submitted(Result<JobDone> result) {
    int outcome = OUTCOME_ACCEPTED;
    if (result instanceof Result.Failure<JobDone> failure) {
      boolean isRefused = failure.error().code() == ResultCode.NOT_RUN_OVERLOADED;
      outcome = isRefused ? OUTCOME_REFUSED : OUTCOME_UNKNOWN;
    }
    return JobAnswer.newBuilder().setSubmit(SubmitAnswer.newBuilder().setOutcome(outcome)).build();
  }
}
