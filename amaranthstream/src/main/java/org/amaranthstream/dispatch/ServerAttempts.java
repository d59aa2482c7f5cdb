package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.quarantine.Crash;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * The attempts on servers of the local availability zone. Starts and stops them and reports how
 * they ended. Used on the decision thread only.
 */
final class ServerAttempts implements ServerAttemptListener {
  private final TimerService timers;
  private final BackendTransport transport;
  private final ServerTable servers;
  private final RequestQuarantine quarantine;
  private final ServerFeedback feedback;
  private final ServiceEstimates estimates;
  private final StalledAttemptDetector stalledAttemptDetector;
  private final StalledAttemptProber prober;
  private final DispatchSettings settings;
  private final Incarnation daemonIncarnation;
  private final AttemptResultHandler lifecycle;
  private long nextAttempt;

  ServerAttempts(DispatcherParts parts, DispatchContext context, AttemptResultHandler lifecycle) {
    this.timers = parts.timers();
    this.transport = parts.transport();
    this.feedback = parts.feedback();
    this.settings = parts.settings();
    this.daemonIncarnation = parts.incarnation();
    this.servers = context.servers();
    this.quarantine = context.quarantine();
    this.estimates = context.estimates();
    this.stalledAttemptDetector = new StalledAttemptDetector(settings, estimates);
    this.prober = new StalledAttemptProber(parts, this::onProbeResult);
    this.lifecycle = lifecycle;
  }

  /** Starts an attempt, which continues a generated response where the previous attempt stopped. */
  void start(ActiveRequest request, ServerState server) {
    long now = timers.nowNanos();
    int load = server.load(now, settings.reportMaxAge().toNanos());
    ServerAttempt attempt = new ServerAttempt(request, server, nextId(), now, load + 1, this);
    request.state = ActiveRequest.State.ON_SERVER;
    request.attempts++;
    request.running = attempt;
    request.partial.resetBuffered();
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
    return AttemptId.of(daemonIncarnation.value() + ":" + nextAttempt++);
  }

  /** Stops an attempt whose request has its outcome. */
  void stop(ServerAttempt attempt) {
    attempt.cancel();
    release(attempt);
  }

  private void release(ServerAttempt attempt) {
    long now = timers.nowNanos();
    if (attempt.server.ended(attempt, now) && attempt.isResponding()) {
      estimates.onSlot(attempt.request.work, now - attempt.startNanos);
    }
  }

  @Override
  public void onChunk(ServerAttempt attempt, Chunk chunk) {
    Optional<String> violation = attempt.request.partial.validate(chunk);
    if (violation.isPresent()) {
      attempt.cancel();
      endInvalid(attempt, violation.get());
      return;
    }
    long now = timers.nowNanos();
    if (!attempt.isResponding()) {
      onFirstChunk(attempt, now);
    }
    attempt.recordProgress(chunk, now);
    attempt.request.partial.add(chunk);
  }

  private void onFirstChunk(ServerAttempt attempt, long now) {
    long latency = now - attempt.startNanos;
    attempt.server.limit.onResponse(latency, attempt.loadAtStart);
    estimates.onFirstChunk(attempt.request.work, latency);
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
      onPossiblyRan(attempt, end);
    }
  }

  private void onFinished(ServerAttempt attempt, CompletedResponse response) {
    Optional<String> violation = attempt.request.partial.validateEnd(response);
    if (violation.isPresent()) {
      endInvalid(attempt, violation.get());
      return;
    }
    long now = timers.nowNanos();
    if (!attempt.isResponding()) {
      onFirstChunk(attempt, now);
      attempt.recordFirstChunk(now);
    }
    attempt.server.health.onOutcome(true, now);
    estimates.onRemainder(
        attempt.request.work, attempt.startOffset, now - attempt.firstChunkNanos());
    quarantine.onCompleted(attempt.request);
    lifecycle.onCompleted(attempt.request, response);
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

  private void onPossiblyRan(ServerAttempt attempt, AttemptEnd end) {
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
    Crash crash = attempt.toCrash();
    attempt.server.suspectCrash(crash, now);
    if (attempt.server.running.isEmpty()) {
      attempt.server.backOff(now + settings.unreachableBackoff().toNanos());
    }
    quarantine.onCrash(attempt.request, crash, now);
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
            attempt.hasProgressed(),
            timers.nowNanos() - attempt.startNanos,
            code,
            reason));
  }

  /** Probes the servers of stalled attempts that {@code mayRetry} allows to be retried. */
  void checkProgress(Predicate<ActiveRequest> mayRetry) {
    long now = timers.nowNanos();
    List<ServerAttempt> stalled = new ArrayList<>();
    for (ServerState state : servers.all()) {
      state.running.stream()
          .filter(a -> stalledAttemptDetector.isStalled(a, now))
          .forEach(stalled::add);
    }
    for (ServerAttempt attempt : stalled) {
      if (!attempt.isClosed() && mayRetry.test(attempt.request)) {
        prober.probe(attempt);
      }
    }
  }

  private void onProbeResult(ServerAttempt attempt, boolean serverResponded) {
    long now = timers.nowNanos();
    if (!stalledAttemptDetector.isStalled(attempt, now)) {
      return;
    }
    String noProgress = "no progress for " + Nanos.formatMillis(now - attempt.progressNanos());
    attempt.cancel();
    if (serverResponded
        && attempt.request.serversWithStalledConnection.add(attempt.server.server.id())) {
      failConnection(attempt, noProgress + " on a connection while a fresh one works");
      return;
    }
    attempt.server.backOff(now + settings.unreachableBackoff().toNanos());
    fail(attempt, ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST, noProgress);
  }

  /** Ends an attempt whose connection failed, without counting it as a failure of its server. */
  private void failConnection(ServerAttempt attempt, String reason) {
    release(attempt);
    lifecycle.onFailed(
        attempt.request,
        AttemptFailure.ran(
            attempt.place(),
            attempt.hasProgressed(),
            timers.nowNanos() - attempt.startNanos,
            ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST,
            reason));
  }

  /** Clears the suspected crashes that newer load reports refute. */
  void checkCrashes() {
    for (ServerState state : servers.all()) {
      state.takeRefutedCrash().ifPresent(quarantine.registry()::onCrashRefuted);
    }
  }
}
