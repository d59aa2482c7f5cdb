package org.amaranthstream.dispatch;

import java.util.Optional;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/** Forwards requests to other availability zones. Used on the decision thread only. */
final class ForwardedAttempts implements ForwardedAttempt.Events {
  private final TimerService timers;
  private final ZoneForwarder forwarder;
  private final ZoneTable zones;
  private final DispatchSettings settings;
  private final Lifecycle lifecycle;

  ForwardedAttempts(DispatcherParts parts, DispatchContext context, Lifecycle lifecycle) {
    this.timers = parts.timers();
    this.forwarder = parts.forwarder();
    this.settings = parts.settings();
    this.zones = context.zones();
    this.lifecycle = lifecycle;
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

  /** Stops a forwarded request because it got its outcome. */
  void stop(ForwardedAttempt attempt) {
    zones.ended(attempt);
    attempt.cancel();
  }

  @Override
  public void onChunk(ForwardedAttempt attempt, Chunk chunk) {
    Optional<String> objection = attempt.request.partial.validate(chunk);
    if (objection.isPresent()) {
      stop(attempt);
      fail(attempt, ResultCode.BACKEND_ANSWER_INVALID, objection.get());
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

  private void onCompleted(ForwardedAttempt attempt, Answer answer) {
    Optional<String> objection = attempt.request.partial.validateEnd(answer);
    if (objection.isPresent()) {
      fail(attempt, ResultCode.BACKEND_ANSWER_INVALID, objection.get());
      return;
    }
    lifecycle.onCompleted(attempt.request, answer);
  }

  private void onNotRun(ForwardedAttempt attempt, Outcome.NotRun notRun) {
    long pause = notRun.retryAfter().orElse(settings.unreachableBackoff()).toNanos();
    zones.backOff(attempt.zone, timers.nowNanos() + pause);
    if (attempt.request.partial.tokens() > 0) {
      fail(attempt, ResultCode.BACKEND_ANSWER_INVALID, "said that it did not run after parts");
      return;
    }
    attempt.request.failedZones.add(attempt.zone);
    lifecycle.onFailed(
        attempt.request,
        AttemptFailure.notRun(
            attempt.place(), notRun.error().code(), notRun.error().message(), notRun.retryAfter()));
  }

  private void fail(ForwardedAttempt attempt, ResultCode code, String reason) {
    attempt.request.failedZones.add(attempt.zone);
    lifecycle.onFailed(
        attempt.request,
        AttemptFailure.ran(
            attempt.place(),
            attempt.request.partial.tokens() > 0,
            timers.nowNanos() - attempt.startNanos,
            code,
            reason));
  }
}
