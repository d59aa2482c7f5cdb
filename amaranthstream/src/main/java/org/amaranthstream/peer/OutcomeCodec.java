package org.amaranthstream.peer;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.peer.wire.NotRun;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * Codec of outcomes. An invalid outcome is decoded as an unknown one and never as "not run",
 * because the work may have run.
 */
final class OutcomeCodec {
  private OutcomeCodec() {}

  static ForwardOutcome encode(long id, Outcome outcome) {
    ForwardOutcome.Builder builder = ForwardOutcome.newBuilder().setId(id);
    if (outcome instanceof Outcome.Completed completed) {
      builder.setCompleted(encodeAnswer(completed.answer()));
    } else if (outcome instanceof Outcome.NotRun notRun) {
      builder.setNotRun(encodeNotRun(notRun));
    } else if (outcome instanceof Outcome.OutcomeUnknown unknown) {
      builder.setUnknown(ErrorCodec.encode(unknown.error()));
    }
    return builder.build();
  }

  private static org.amaranthstream.peer.wire.Answer encodeAnswer(CompletedResponse response) {
    return org.amaranthstream.peer.wire.Answer.newBuilder()
        .setServer(response.server().value())
        .setStatus(response.status().code())
        .setContentType(response.contentType())
        .setTokens(response.tokens())
        .setFinishReason(response.finishReason())
        .build();
  }

  private static NotRun encodeNotRun(Outcome.NotRun notRun) {
    NotRun.Builder builder = NotRun.newBuilder().setError(ErrorCodec.encode(notRun.error()));
    notRun.retryAfter().ifPresent(after -> builder.setRetryAfterMs(WireDurations.toMillis(after)));
    return builder.build();
  }

  static Outcome decode(ForwardOutcome outcome) {
    return switch (outcome.getOutcomeCase()) {
      case COMPLETED -> decodeCompleted(outcome.getCompleted());
      case NOT_RUN -> decodeNotRun(outcome.getNotRun());
      case UNKNOWN ->
          new Outcome.OutcomeUnknown(
              ErrorCodec.decode(outcome.getUnknown(), ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST));
      case EXCHANGE_END, OUTCOME_NOT_SET -> invalidResponse("it has no outcome");
    };
  }

  private static Outcome decodeCompleted(org.amaranthstream.peer.wire.Answer answer) {
    try {
      return new Outcome.Completed(
          new CompletedResponse(
              BackendServerId.of(answer.getServer()),
              HttpStatus.of(answer.getStatus()),
              answer.getContentType(),
              answer.getTokens(),
              answer.getFinishReason()));
    } catch (IllegalArgumentException e) {
      return invalidResponse(e.getMessage());
    }
  }

  private static Outcome decodeNotRun(NotRun notRun) {
    Optional<Duration> retryAfter =
        notRun.hasRetryAfterMs()
            ? Optional.of(WireDurations.fromMillis(notRun.getRetryAfterMs()))
            : Optional.empty();
    ErrorDetail error = ErrorCodec.decode(notRun.getError(), ResultCode.NOT_RUN_OVERLOADED);
    return new Outcome.NotRun(error, retryAfter);
  }

  private static Outcome invalidResponse(String reason) {
    return new Outcome.OutcomeUnknown(
        ErrorDetail.of(
            ResultCode.BACKEND_ANSWER_INVALID, "response of the peer is invalid: " + reason));
  }
}
