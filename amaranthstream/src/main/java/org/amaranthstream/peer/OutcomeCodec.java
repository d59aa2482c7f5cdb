package org.amaranthstream.peer;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.peer.wire.NotRun;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Outcomes, to and from the wire. What cannot be read is an unknown outcome, never a "not run". */
final class OutcomeCodec {
  private OutcomeCodec() {}

  static ForwardOutcome encode(long id, Outcome outcome) {
    ForwardOutcome.Builder builder = ForwardOutcome.newBuilder().setId(id);
    if (outcome instanceof Outcome.Completed completed) {
      builder.setCompleted(encodeAnswer(completed.answer()));
    } else if (outcome instanceof Outcome.NotRun notRun) {
      builder.setNotRun(encodeNotRun(notRun));
    } else if (outcome instanceof Outcome.OutcomeUnknown unknown) {
      builder.setUnknown(WireErrors.encode(unknown.error()));
    }
    return builder.build();
  }

  private static org.amaranthstream.peer.wire.Answer encodeAnswer(CompletedResponse answer) {
    return org.amaranthstream.peer.wire.Answer.newBuilder()
        .setServer(answer.server().value())
        .setStatus(answer.status())
        .setContentType(answer.contentType())
        .setTokens(answer.tokens())
        .setFinishReason(answer.finishReason())
        .build();
  }

  private static NotRun encodeNotRun(Outcome.NotRun notRun) {
    NotRun.Builder builder = NotRun.newBuilder().setError(WireErrors.encode(notRun.error()));
    notRun.retryAfter().ifPresent(after -> builder.setRetryAfterMs(Ages.toMillis(after)));
    return builder.build();
  }

  static Outcome decode(ForwardOutcome outcome) {
    return switch (outcome.getOutcomeCase()) {
      case COMPLETED -> completed(outcome.getCompleted());
      case NOT_RUN -> notRun(outcome.getNotRun());
      case UNKNOWN ->
          new Outcome.OutcomeUnknown(
              WireErrors.decode(outcome.getUnknown(), ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST));
      case OUTCOME_NOT_SET -> invalid("the outcome is empty");
    };
  }

  private static Outcome completed(org.amaranthstream.peer.wire.Answer answer) {
    try {
      return new Outcome.Completed(
          new CompletedResponse(
              BackendServerId.of(answer.getServer()),
              answer.getStatus(),
              answer.getContentType(),
              answer.getTokens(),
              answer.getFinishReason()));
    } catch (IllegalArgumentException e) {
      return invalid(e.getMessage());
    }
  }

  private static Outcome notRun(NotRun notRun) {
    Optional<Duration> retryAfter =
        notRun.hasRetryAfterMs()
            ? Optional.of(Ages.ofMillis(notRun.getRetryAfterMs()))
            : Optional.empty();
    ErrorDetail error = WireErrors.decode(notRun.getError(), ResultCode.NOT_RUN_OVERLOADED);
    return new Outcome.NotRun(error, retryAfter);
  }

  private static Outcome invalid(String reason) {
    return new Outcome.OutcomeUnknown(
        ErrorDetail.of(ResultCode.BACKEND_ANSWER_INVALID, "peer answer is invalid: " + reason));
  }
}
