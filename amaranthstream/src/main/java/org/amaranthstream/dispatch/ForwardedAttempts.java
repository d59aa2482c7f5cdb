package org.amaranthstream.dispatch;

import java.util.Optional;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Manager of the attempts that run in other availability zones. Confined to the decision thread.
 */
final class ForwardedAttempts implements ForwardedAttempt.Listener {
  private final TimerService timers;
  private final ZoneForwarder forwarder;
  private final ZoneTable zones;
  private final DispatchSettings settings;
  private final AttemptResultHandler resultHandler;

  ForwardedAttempts(
      DispatcherParts parts, DispatchContext context, AttemptResultHandler resultHandler) {
    this.timers = parts.timers();
    this.forwarder = parts.forwarder();
    this.settings = parts.settings();
    this.zones = context.zones();
    this.resultHandler = resultHandler;
  }

  void start(ActiveRequest request, Candidate.Zone zone) {
    long now = timers.nowNanos();
    ForwardedAttempt attempt = new ForwardedAttempt(request, zone.zone(), now, forwarder, this);
    request.state = ActiveRequest.State.FORWARDED;
    request.attempts++;
    request.running = attempt;
    zones.started(attempt, zone.locality(), now);
    forwarder.forward(zone.zone(), request.work, attempt);
  }

  /** Cancels a forwarded attempt and removes it from the zone table. */
  void stop(ForwardedAttempt attempt) {
    zones.ended(attempt);
    attempt.cancel();
  }

  @Override
  public void onChunk(ForwardedAttempt attempt, Chunk chunk) {
    Optional<String> violation = attempt.request.partial.validate(chunk);
    if (violation.isPresent()) {
      stop(attempt);
      fail(attempt, ResultCode.BACKEND_ANSWER_INVALID, violation.get());
      return;
    }
    attempt.request.partial.add(chunk);
  }

  @Override
  public void onOutcome(ForwardedAttempt attempt, Outcome outcome) {
    zones.ended(attempt);
    if (outcome instanceof Outcome.Completed completed) {
      onCompleted(attempt, completed.answer());
    } else if (outcome instanceof Outcome.NotRun notRun) {
      onNotRun(attempt, notRun);
    } else {
      Outcome.OutcomeUnknown unknown = (Outcome.OutcomeUnknown) outcome;
      fail(attempt, unknown.error().code(), unknown.error().message());
    }
  }

  private void onCompleted(ForwardedAttempt attempt, CompletedResponse response) {
    Optional<String> violation = attempt.request.partial.validateEnd(response);
    if (violation.isPresent()) {
      fail(attempt, ResultCode.BACKEND_ANSWER_INVALID, violation.get());
      return;
    }
    resultHandler.onCompleted(attempt.request, response);
  }

  private void onNotRun(ForwardedAttempt attempt, Outcome.NotRun notRun) {
    long backoff = notRun.retryAfter().orElse(settings.unreachableBackoff()).toNanos();
    zones.backOff(attempt.zone, timers.nowNanos() + backoff);
    if (attempt.request.partial.tokens() > 0) {
      fail(
          attempt,
          ResultCode.BACKEND_ANSWER_INVALID,
          "reported that it did not run after it had sent parts");
      return;
    }
    attempt.request.failedZones.add(attempt.zone);
    resultHandler.onFailed(
        attempt.request,
        AttemptFailure.notRun(
            attempt.place(), notRun.error().code(), notRun.error().message(), notRun.retryAfter()));
  }

  private void fail(ForwardedAttempt attempt, ResultCode code, String reason) {
    attempt.request.failedZones.add(attempt.zone);
    resultHandler.onFailed(
        attempt.request,
        AttemptFailure.ran(
            attempt.place(),
            attempt.request.partial.tokens() > 0,
            timers.nowNanos() - attempt.startNanos,
            code,
            reason));
  }
}
