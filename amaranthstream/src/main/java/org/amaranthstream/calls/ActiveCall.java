package org.amaranthstream.calls;

import com.google.common.annotations.VisibleForTesting;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.prompts.Prompt;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.Subscription;
import org.jspecify.annotations.Nullable;

/**
 * Request of a caller, from its arrival to the end of its response.
 *
 * <p>A response is buffered until it is complete, so that another server's response can replace one
 * that breaks off. A long response or a stream is forwarded as it arrives. A "not run" code is
 * returned only if no attempt may have run. Must be used on one thread.
 */
final class ActiveCall {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final CallService service;
  private final Route route;
  private final CallPolicy policy;
  private OutboundCall call;
  private final Optional<Prompt> prompt;
  private CallContent content;
  private CandidateServers candidates;
  private final CallerExchange exchange;
  private final long startNanos;
  private final long deadlineNanos;
  private final CallAttempts attempts;
  private @Nullable CallAttempt committed;
  private @Nullable CallAttempt lastErrorResponse;
  private @Nullable Subscription timeout;
  private @Nullable Subscription hedge;
  private boolean isAwaitingPermit;
  private boolean isOver;
  private String lastFailure = "the service has no available backend server";

  ActiveCall(
      CallService service,
      Route route,
      CallPolicy policy,
      OutboundCall call,
      CallContent content,
      CandidateServers candidates,
      Duration timeLeft,
      CallerExchange exchange) {
    this.service = service;
    this.route = route;
    this.policy = policy;
    this.call = call;
    this.prompt = service.promptOf(route, call);
    this.content = content;
    this.candidates = candidates;
    this.exchange = exchange;
    this.attempts = new CallAttempts(policy);
    this.startNanos = service.timers().nowNanos();
    this.deadlineNanos = startNanos + timeLeft.toNanos();
  }

  void start() {
    Optional<Duration> quarantine = content.remainingQuarantine();
    if (quarantine.isPresent()) {
      failQuarantined(quarantine.get());
      return;
    }
    timeout = service.timers().after(max(timeLeft(), Duration.ZERO), this::onTimeout);
    if (policy.isResumable() && call.resumption().isPresent()) {
      service.resumptions().find(route, call, timeLeft(), this::onResumable);
    } else {
      attemptNext();
    }
  }

  /** Continues once it is known which servers can resume the caller's stream. */
  private void onResumable(Result<List<TrackedServer>> compatible) {
    if (isOver) {
      return;
    }
    if (compatible instanceof Result.Failure<List<TrackedServer>> failure) {
      fail(failure.error().code(), failure.error().message());
      return;
    }
    candidates = candidates.among(((Result.Success<List<TrackedServer>>) compatible).value());
    attemptNext();
  }

  /** Records which software generates the caller's stream, so that it can be resumed. */
  void onStreamBegins(CallAttempt attempt) {
    if (policy.isResumable()) {
      attempt.server().ifPresent(server -> service.resumptions().record(call, server));
    }
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  private Duration timeLeft() {
    return Duration.ofNanos(deadlineNanos - service.timers().nowNanos());
  }

  /**
   * Tries the next server. If there is none and no attempt is running, fails the request. Content
   * that is suspected of crashing servers runs on one server at a time, and no hedged attempt uses
   * up the limit of a server.
   */
  private void attemptNext() {
    if (isAwaitingPermit || (!attempts.isEmpty() && content.isSuspect())) {
      return;
    }
    Optional<TrackedServer> server =
        mayTryAnother()
            ? service.choose(servers(), attempts::mayTry, content.isSuspect(), prompt)
            : Optional.empty();
    if (shouldRelay(server.isPresent())) {
      relay();
    } else if (server.isPresent() && server.get().isLimited()) {
      if (attempts.isEmpty()) {
        awaitPermit(server.get());
      }
    } else if (server.isPresent()) {
      attemptAt(server.get());
    } else if (attempts.isEmpty()) {
      giveUp();
    }
  }

  private void awaitPermit(TrackedServer server) {
    isAwaitingPermit = true;
    service.permits().acquire(server, timeLeft(), isGranted -> onPermit(server, isGranted));
  }

  private void onPermit(TrackedServer server, boolean isGranted) {
    isAwaitingPermit = false;
    if (isOver || committed != null) {
      return;
    }
    if (isGranted && server.isAvailable() && mayTryAnother()) {
      attemptAt(server);
      return;
    }
    attempts.addTried(server);
    lastFailure = server.id() + ": its limit is used up";
    attemptNext();
  }

  private boolean mayTryAnother() {
    return attempts.mayAdd() && content.remainingQuarantine().isEmpty();
  }

  /** Returns true if {@code server} runs this request and may crash because of it. */
  boolean runsSuspectOn(TrackedServer server) {
    return attempts.isRunningOn(server) && content.isSuspect();
  }

  private boolean shouldRelay(boolean hasServer) {
    return policy.mayRelay()
        && attempts.mayReplaceConnecting()
        && content.remainingQuarantine().isEmpty()
        && RelayPolicy.shouldRelay(
            attempts.relays(),
            service.isLost(servers()),
            attempts.connectingCount(),
            attempts.notConnected(),
            hasServer)
        && attempts.unused(servers()).stream().anyMatch(TrackedServer::isAvailable)
        && service.relay().isAvailable();
  }

  /**
   * Sends the request to a peer, in place of the attempts that still wait for a connection. The
   * peer chooses among servers that no other attempt uses, because a server must not get the
   * request twice: its responses could not be told apart.
   */
  private void relay() {
    attempts.cancelConnecting();
    attempts.onRelayed();
    startAttempt(
        new PeerTarget(
            service.relay(),
            attempts.serversOfNextRelay(),
            serversOfNextRelay(),
            !policy.isQuarantinable()));
  }

  private ImmutableList<TrackedServer> serversOfNextRelay() {
    List<TrackedServer> unused = new ArrayList<>(attempts.unused(servers()));
    unused.removeIf(server -> !server.isAvailable());
    int count = attempts.choicesOfNextRelay(unused.size());
    ImmutableList.Builder<TrackedServer> chosen = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      Optional<TrackedServer> next =
          service.choose(unused, server -> true, content.isSuspect(), prompt);
      next.ifPresent(chosen::add);
      next.ifPresent(unused::remove);
    }
    return chosen.build();
  }

  private ImmutableList<TrackedServer> servers() {
    return candidates.servers();
  }

  private void attemptAt(TrackedServer server) {
    attempts.addTried(server);
    startAttempt(new ServerTarget(service, server, prompt, service.beginReport(policy, call)));
  }

  private void startAttempt(AttemptTarget target) {
    CallAttempt attempt = new CallAttempt(this, target);
    attempts.add(attempt);
    logger.atFine().log("event=call_sent %s to=%s attempt=%d", this, target, attempts.counted());
    attempt.start(call, timeLeft());
    if (!isOver && committed == null && !policy.hedgeAfter().isZero()) {
      scheduleHedge();
    }
  }

  private void scheduleHedge() {
    if (hedge != null) {
      hedge.cancel();
    }
    hedge = service.timers().after(policy.hedgeAfter(), this::hedge);
  }

  /**
   * Starts a further attempt, because there is no response yet. A request that may run only once
   * goes elsewhere only if it still waits for its connection.
   */
  private void hedge() {
    if (isOver || committed != null) {
      return;
    }
    if (policy.mayHedge()) {
      if (mayTryAnother() || attempts.connectingCount() > 0) {
        attemptNext();
      }
    } else if (!attempts.isEmpty() && attempts.areAllConnecting()) {
      attempts.cancelConnecting();
      attemptNext();
    }
  }

  /** Returns true if the attempt's response is streamed to the caller as it arrives. */
  boolean shouldStream(CallAttempt attempt) {
    return policy.isStream() || attempt.exceedsBuffer();
  }

  boolean isCommitted(CallAttempt attempt) {
    return committed == attempt;
  }

  /** Selects the attempt whose response the caller receives, and cancels the others. */
  void commit(CallAttempt attempt) {
    committed = attempt;
    attempts.cancelAllExcept(attempt);
  }

  CallerExchange exchange() {
    return exchange;
  }

  /** Handles an attempt whose buffered response is complete. */
  void onBufferedResponse(CallAttempt attempt) {
    attempts.remove(attempt);
    content.onCompleted();
    if (attempt.head().isServerError() && policy.isRepeatable() && mayTryAnother()) {
      attempts.markRun();
      lastErrorResponse = attempt;
      attemptNext();
      return;
    }
    if (attempt.head().isServerError() && !attempts.isEmpty()) {
      lastErrorResponse = attempt;
      return;
    }
    commit(attempt);
    exchange.sendResponse(attempt.head(), attempt.body());
    close(ResultCode.OK, "");
  }

  /** Handles an attempt whose streamed response is complete. */
  void onStreamedResponse(CallAttempt attempt) {
    attempts.remove(attempt);
    content.onCompleted();
    exchange.end();
    close(ResultCode.OK, "");
  }

  void onFailed(CallAttempt attempt, AttemptFailure failure) {
    attempts.onFailed(attempt, failure);
    lastFailure = attempt + ": " + failure;
    if (failure.mayHaveRun()) {
      logBroken(attempt, failure);
    }
    if (failure instanceof AttemptFailure.ConnectionLost) {
      attempt.server().ifPresent(content::onConnectionLost);
    }
    if (committed == attempt) {
      exchange.abort();
      close(ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST, lastFailure);
      return;
    }
    attemptNext();
  }

  private void logBroken(CallAttempt attempt, AttemptFailure failure) {
    logger.atInfo().log(
        "event=call_broken request=%s server=%s started=%d content=%s reason=\"%s\"",
        call.id(),
        attempt,
        attempt.server().map(server -> server.registration().startMillis()).orElse(0L),
        content.describe(),
        failure);
  }

  private void giveUp() {
    Optional<Duration> quarantine = content.remainingQuarantine();
    if (lastErrorResponse != null) {
      exchange.sendResponse(lastErrorResponse.head(), lastErrorResponse.body());
      close(ResultCode.BACKEND_FAILED, lastFailure);
    } else if (attempts.mayHaveRun()) {
      fail(ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST, lastFailure);
    } else if (quarantine.isPresent()) {
      failQuarantined(quarantine.get());
    } else {
      fail(ResultCode.NOT_RUN_NO_BACKEND, lastFailure);
    }
  }

  private void failQuarantined(Duration remaining) {
    fail(
        ResultCode.NOT_RUN_QUARANTINED,
        "this content was in flight at two crashes of backend servers",
        remaining);
  }

  private void onTimeout() {
    endEarly(
        ResultCode.NOT_RUN_DEADLINE, ResultCode.OUTCOME_UNKNOWN_DEADLINE, "the request timed out");
  }

  /** Fails the request because this process ends. */
  void shutDown() {
    endEarly(
        ResultCode.NOT_RUN_SHUTTING_DOWN,
        ResultCode.OUTCOME_UNKNOWN_SHUTTING_DOWN,
        "the entry VM shut down");
  }

  private void endEarly(ResultCode notRun, ResultCode outcomeUnknown, String reason) {
    if (isOver) {
      return;
    }
    boolean isNotRun = attempts.areAllConnecting() && !attempts.mayHaveRun();
    attempts.cancelAll();
    if (committed != null) {
      exchange.abort();
      close(outcomeUnknown, reason + " before the response was complete");
    } else if (isNotRun) {
      fail(notRun, lastFailure);
    } else {
      fail(outcomeUnknown, reason + " without a response");
    }
  }

  /** Cancels all attempts without a response, because the caller disconnected. */
  void cancel() {
    if (!isOver) {
      attempts.cancelAll();
      close(ResultCode.OUTCOME_UNKNOWN_CANCELLED, "the caller disconnected");
    }
  }

  private void fail(ResultCode code, String message) {
    fail(code, message, RetryAfterDelays.NO_SERVER);
  }

  private void fail(ResultCode code, String message, Duration retryAfter) {
    exchange.fail(ErrorDetail.of(code, message), retryAfter);
    close(code, message);
  }

  private void close(ResultCode code, String detail) {
    isOver = true;
    if (timeout != null) {
      timeout.cancel();
    }
    if (hedge != null) {
      hedge.cancel();
    }
    service.onCallEnded(this, code, detail);
    clearBodies();
    exchange.onCallEnded();
  }

  /** Clears the references to bodies: what still refers to an ended call must not keep them. */
  private void clearBodies() {
    call = call.withoutBody();
    content = ExemptContent.INSTANCE;
    committed = null;
    lastErrorResponse = null;
  }

  /** Returns the bytes that the call keeps of its body and of a response that it may send later. */
  @VisibleForTesting
  long keptBytes() {
    return call.body().length()
        + (lastErrorResponse == null ? 0 : lastErrorResponse.body().length());
  }

  Route route() {
    return route;
  }

  /** Returns the time since the request arrived. */
  Duration elapsed() {
    return Duration.ofNanos(service.timers().nowNanos() - startNanos);
  }

  CallService service() {
    return service;
  }

  @Override
  public String toString() {
    return "request=" + call.id() + " uri=" + call.uri();
  }
}
