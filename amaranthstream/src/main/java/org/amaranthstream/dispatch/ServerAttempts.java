package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Starts attempts on servers of the own availability zone and types their ends. Used on the
 * decision thread only.
 */
final class ServerAttempts implements ServerAttemptListener {
  private final TimerService timers;
  private final BackendTransport transport;
  private final ServerTable servers;
  private final PoisonRegistry poison;
  private final ServerFeedback feedback;
  private final ServiceEstimates estimates;
  private final ProgressWatch watch;
  private final SilenceResolver silence;
  private final DispatchSettings settings;
  private final Incarnation ownIncarnation;
  private final AttemptResultHandler lifecycle;
  private long nextAttempt;

  ServerAttempts(DispatcherParts parts, Shared shared, AttemptResultHandler lifecycle) {
    this.timers = parts.timers();
    this.transport = parts.transport();
    this.feedback = parts.feedback();
    this.settings = parts.settings();
    this.ownIncarnation = parts.incarnation();
    this.servers = shared.servers();
    this.poison = shared.poison();
    this.estimates = shared.estimates();
    this.watch = new ProgressWatch(settings, estimates);
    this.silence = new SilenceResolver(parts, this::onSilenceResolved);
    this.lifecycle = lifecycle;
  }

  void start(ActiveRequest request, ServerState server) {
    long now = timers.nowNanos();
    int load = server.load(now, settings.reportMaxAge().toNanos());
    ServerAttempt attempt = new ServerAttempt(request, server, nextId(), now, load + 1, this);
    request.state = ActiveRequest.State.ON_SERVER;
    request.attempts++;
    request.running = attempt;
    request.partial.restart();
    server.started(attempt, now);
    BackendTransport.Attempt started =
        transport.start(
            server.server,
            attempt.id,
            request.work,
            request.partial.tokens(),
            request.partial.text(),
            attempt);
    attempt.attach(started);
  }

  private AttemptId nextId() {
    return AttemptId.of(ownIncarnation.value() + ":" + nextAttempt++);
  }

  /** Stops an attempt because its request got its outcome. */
  void stop(ServerAttempt attempt) {
    attempt.cancel();
    release(attempt);
  }

  private void release(ServerAttempt attempt) {
    long now = timers.nowNanos();
    if (attempt.server.ended(attempt, now) && attempt.isAnswering()) {
      estimates.onSlot(attempt.request.work, now - attempt.startNanos);
    }
  }

  @Override
  public void onChunk(ServerAttempt attempt, Chunk chunk) {
    Optional<String> objection = attempt.request.partial.reject(chunk);
    if (objection.isPresent()) {
      attempt.cancel();
      endInvalid(attempt, objection.get());
      return;
    }
    long now = timers.nowNanos();
    if (!attempt.isAnswering()) {
      onFirstPart(attempt, now);
    }
    attempt.progressed(chunk, now);
    attempt.request.partial.add(chunk);
  }

  private void onFirstPart(ServerAttempt attempt, long now) {
    long latency = now - attempt.startNanos;
    attempt.server.limit.onAnswer(latency, attempt.loadAtStart);
    estimates.onFirstPart(attempt.request.work, latency);
  }

  @Override
  public void onEnd(ServerAttempt attempt, AttemptEnd end) {
    release(attempt);
    if (end instanceof AttemptEnd.Finished finished) {
      onFinished(attempt, finished.response());
    } else if (end instanceof AttemptEnd.Rejected rejected) {
      onRejected(attempt, rejected);
    } else if (end instanceof AttemptEnd.NotSent notSent && !attempt.isSending()) {
      onNotSent(attempt, notSent);
    } else {
      onRan(attempt, end);
    }
  }

  private void onFinished(ServerAttempt attempt, CompletedResponse answer) {
    Optional<String> objection = attempt.request.partial.rejectEnd(answer);
    if (objection.isPresent()) {
      endInvalid(attempt, objection.get());
      return;
    }
    long now = timers.nowNanos();
    if (!attempt.isAnswering()) {
      onFirstPart(attempt, now);
      attempt.answered(now);
    }
    attempt.server.health.onOutcome(true, now);
    estimates.onRest(attempt.request.work, attempt.startOffset, now - attempt.firstPartNanos());
    poison.onAnswer(attempt.request.fingerprint);
    lifecycle.onCompleted(attempt.request, answer);
  }

  private void onRejected(ServerAttempt attempt, AttemptEnd.Rejected rejected) {
    ServerState server = attempt.server;
    if (rejected.draining()) {
      servers.servers(server.server.pool());
      server.markDraining(timers.nowNanos());
      feedback.onDraining(server.server);
    } else {
      server.limit.onOverload();
      Duration pause = rejected.retryAfter().orElse(settings.unreachableBackoff());
      server.backOff(timers.nowNanos() + pause.toNanos());
    }
    ResultCode code =
        rejected.draining() ? ResultCode.NOT_RUN_NO_BACKEND : ResultCode.NOT_RUN_OVERLOADED;
    lifecycle.onFailed(
        attempt.request,
        AttemptFailure.notRun(attempt.place(), code, rejected.reason(), rejected.retryAfter()));
  }

  private void onNotSent(ServerAttempt attempt, AttemptEnd.NotSent notSent) {
    long now = timers.nowNanos();
    attempt.server.backOff(now + settings.unreachableBackoff().toNanos());
    lifecycle.onFailed(
        attempt.request,
        AttemptFailure.notRun(
            attempt.place(), ResultCode.NOT_RUN_NO_BACKEND, notSent.reason(), Optional.empty()));
  }

  private void onRan(ServerAttempt attempt, AttemptEnd end) {
    if (end instanceof AttemptEnd.Invalid invalid) {
      endInvalid(attempt, invalid.reason());
    } else if (end instanceof AttemptEnd.Failed failed) {
      fail(attempt, ResultCode.BACKEND_FAILED, failed.reason());
    } else if (end instanceof AttemptEnd.Broken broken) {
      endBroken(attempt, broken.reason());
    } else {
      endBroken(attempt, ((AttemptEnd.NotSent) end).reason());
    }
  }

  private void endBroken(ServerAttempt attempt, String reason) {
    long now = timers.nowNanos();
    Crash crash = attempt.asCrash();
    attempt.server.suspectCrash(crash, now);
    if (attempt.server.running.isEmpty()) {
      attempt.server.backOff(now + settings.unreachableBackoff().toNanos());
    }
    poison.onCrash(attempt.request.fingerprint, crash, now);
    fail(attempt, ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST, reason);
  }

  private void endInvalid(ServerAttempt attempt, String reason) {
    fail(attempt, ResultCode.BACKEND_ANSWER_INVALID, reason);
  }

  private void fail(ServerAttempt attempt, ResultCode code, String reason) {
    long now = timers.nowNanos();
    release(attempt);
    attempt.server.health.onOutcome(false, now);
    attempt.request.failedServers.add(attempt.server.server.id());
    lifecycle.onFailed(
        attempt.request,
        AttemptFailure.ran(
            attempt.place(),
            attempt.hasKeptParts(),
            timers.nowNanos() - attempt.startNanos,
            code,
            reason));
  }

  /** Looks into the attempts without progress that {@code mayMove} allows to run elsewhere. */
  void checkProgress(Predicate<ActiveRequest> mayMove) {
    long now = timers.nowNanos();
    List<ServerAttempt> silent = new ArrayList<>();
    for (ServerState state : servers.all()) {
      state.running.stream().filter(a -> watch.isSilent(a, now)).forEach(silent::add);
    }
    for (ServerAttempt attempt : silent) {
      if (!attempt.isClosed() && mayMove.test(attempt.request)) {
        silence.resolve(attempt);
      }
    }
  }

  private void onSilenceResolved(ServerAttempt attempt, boolean serverAnswers) {
    long now = timers.nowNanos();
    if (!watch.isSilent(attempt, now)) {
      return;
    }
    String silent = "no progress for " + Nanos.formatMillis(now - attempt.progressNanos());
    attempt.cancel();
    if (serverAnswers && attempt.request.silentServers.add(attempt.server.server.id())) {
      giveUpConnection(attempt, silent + " on a connection while a fresh one works");
      return;
    }
    attempt.server.backOff(now + settings.unreachableBackoff().toNanos());
    fail(attempt, ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST, silent);
  }

  /** Ends an attempt without holding it against its server. */
  private void giveUpConnection(ServerAttempt attempt, String reason) {
    release(attempt);
    lifecycle.onFailed(
        attempt.request,
        AttemptFailure.ran(
            attempt.place(),
            attempt.hasKeptParts(),
            timers.nowNanos() - attempt.startNanos,
            ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST,
            reason));
  }

  /** Clears suspects of crashes that turned out not to be any. */
  void checkCrashes() {
    for (ServerState state : servers.all()) {
      state.takeRefutedCrash().ifPresent(poison::onAlive);
    }
  }
}
