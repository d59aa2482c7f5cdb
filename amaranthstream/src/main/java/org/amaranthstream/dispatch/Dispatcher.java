package org.amaranthstream.dispatch;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.admission.AdmissionDecision;
import org.amaranthstream.admission.AdmissionInput;
import org.amaranthstream.admission.AdmissionPolicy;
import org.amaranthstream.decisions.DecisionKind;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Dispatcher that admits, queues, places, retries and resumes requests on backend servers, and
 * reports exactly one outcome for each request.
 *
 * <p>Confined to the decision thread: all methods are called and all callbacks run on it. The
 * decisions are deterministic: the same events at the same times lead to the same decisions.
 *
 * <pre>{@code
 * Dispatcher dispatcher =
 *     Dispatcher.builder()
 *         .timers(timers.forDuty(decisionThread))
 *         .transport(transport)
 *         .forwarder(forwarder)
 *         .directory(directory)
 *         .region(RegionId.of("lisboa"))
 *         .incarnation(incarnation)
 *         .build();
 * dispatcher.submit(work, listener);
 * }</pre>
 */
public final class Dispatcher implements WorkRunner, AutoCloseable {
  private final TimerService timers;
  private final AdmissionPolicy admission;
  private final QueueOrder.Factory orders;
  private final RetryPolicy retryPolicy;
  private final RetryBudget retryBudget;
  private final DispatchSettings settings;
  private final DispatchContext context;
  private final DecisionRecorder recorder;
  private final ServerAttempts serverAttempts;
  private final ForwardedAttempts forwardedAttempts;
  private final QueueScheduler scheduler;
  private final Map<PoolId, PoolQueue> queues = new HashMap<>();
  private final Map<RequestId, ActiveRequest> active = new HashMap<>();
  private final Subscription progressTimer;
  private long nextArrival;

  Dispatcher(DispatcherParts parts) {
    this.timers = parts.timers();
    this.admission = parts.admission();
    this.orders = parts.queueOrder();
    this.retryPolicy = parts.retryPolicy();
    this.retryBudget = parts.retryBudget();
    this.settings = parts.settings();
    this.context = DispatchContext.of(parts);
    this.recorder = context.recorder();
    AttemptResultHandler resultHandler = new ResultHandler();
    this.serverAttempts = new ServerAttempts(parts, context, resultHandler);
    this.forwardedAttempts = new ForwardedAttempts(parts, context, resultHandler);
    this.scheduler = new QueueScheduler(timers, parts.placement(), context, this::startAttempt);
    this.progressTimer = timers.every(settings.progressCheckInterval(), this::onTick);
  }

  /** Returns a builder. */
  public static DispatcherBuilder builder() {
    return new DispatcherBuilder();
  }

  /** Returns the registry of poison requests, which is kept in sync with other entry VMs. */
  public PoisonRegistry poisonRegistry() {
    return context.quarantine().registry();
  }

  /** Returns the number of queued requests in all pools. */
  public int queued() {
    return queues.values().stream().mapToInt(PoolQueue::size).sum();
  }

  /** Returns the number of requests that have no outcome yet. */
  public int active() {
    return active.size();
  }

  @Override
  public void submit(Work work, WorkListener listener) {
    checkState(!active.containsKey(work.id()), "request %s is already active", work.id());
    ActiveRequest request = new ActiveRequest(work, listener, nextArrival++);
    Optional<Duration> quarantine = context.quarantine().remaining(request, timers.nowNanos());
    if (quarantine.isPresent()) {
      rejectQuarantined(request, quarantine.get());
      return;
    }
    AdmissionDecision decision = admission.decide(admissionInput(request));
    if (decision instanceof AdmissionDecision.Refuse rejection) {
      reject(request, DecisionKind.REFUSE, rejection.error(), Optional.of(rejection.retryAfter()));
      return;
    }
    long estimate = ((AdmissionDecision.Admit) decision).estimateNanos();
    recorder.record(
        request,
        DecisionKind.ADMIT,
        work.workClass().value(),
        String.format(
            "estimate %s, deadline in %s",
            Nanos.formatMillis(estimate),
            Nanos.formatMillis(request.slackNanos(timers.nowNanos()))));
    active.put(work.id(), request);
    enqueue(request);
    scheduler.run(work.pool(), queue(work.pool()));
    if (request.state == ActiveRequest.State.QUEUED) {
      recorder.record(
          request, DecisionKind.QUEUE, work.pool().value(), queue(work.pool()).size() + " wait");
    }
  }

  @Override
  public void cancel(RequestId id) {
    ActiveRequest request = active.get(id);
    if (request == null) {
      return;
    }
    PoolId pool = request.work.pool();
    withdraw(request);
    ResultCode code =
        request.mayHaveRun ? ResultCode.OUTCOME_UNKNOWN_CANCELLED : ResultCode.NOT_RUN_CANCELLED;
    finish(request, DecisionKind.CANCEL, ErrorDetail.of(code, "cancelled"), Optional.empty());
    scheduler.run(pool, queue(pool));
  }

  /** Cancels all timers. Requests that are queued or running get no outcome. */
  @Override
  public void close() {
    progressTimer.cancel();
    active.values().forEach(ActiveRequest::cancelTimer);
  }

  private void rejectQuarantined(ActiveRequest request, Duration remaining) {
    ErrorDetail error =
        ErrorDetail.of(
            ResultCode.NOT_RUN_QUARANTINED,
            "this content was in flight at two crashes of backend servers");
    reject(request, DecisionKind.QUARANTINE, error, Optional.of(remaining));
  }

  private void reject(
      ActiveRequest request, DecisionKind kind, ErrorDetail error, Optional<Duration> retryAfter) {
    request.state = ActiveRequest.State.DONE;
    recorder.record(request, kind, error.code().name(), error.message());
    request.listener.onOutcome(new Outcome.NotRun(error, retryAfter));
  }

  private AdmissionInput admissionInput(ActiveRequest request) {
    Work work = request.work;
    long now = timers.nowNanos();
    ImmutableList<Candidate> candidates = context.finder().candidates(request, now);
    PoolQueue queue = queue(work.pool());
    int slots = candidates.stream().mapToInt(Candidate::limit).sum();
    long slotNanos = context.estimates().slotNanos(work.pool());
    return new AdmissionInput(
        work.priority(),
        request.slackNanos(now),
        slots,
        candidates.stream().mapToInt(c -> Math.min(c.load(), c.limit())).sum(),
        queue.countAhead(
            work.priority(), work.deadlineNanos(), queue.turn(slotNanos, () -> slots, now)),
        settings.queueCapacity(),
        queue.size(),
        context.estimates().serviceNanos(work, 0),
        slotNanos);
  }

  private PoolQueue queue(PoolId pool) {
    return queues.computeIfAbsent(pool, p -> new PoolQueue(orders.create()));
  }

  private void enqueue(ActiveRequest request) {
    request.state = ActiveRequest.State.QUEUED;
    request.running = null;
    queue(request.work.pool()).add(request);
    setQueueTimer(request);
  }

  /** Sets the timer that expires the queued request once it can no longer meet its deadline. */
  private void setQueueTimer(ActiveRequest request) {
    long wait = request.slackNanos(timers.nowNanos()) - minSlackNanos(request);
    request.setTimer(timers.after(Duration.ofNanos(Math.max(0, wait)), () -> expire(request)));
  }

  private long minSlackNanos(ActiveRequest request) {
    return admission.minSlackNanos(serviceNanos(request));
  }

  private long serviceNanos(ActiveRequest request) {
    return context.estimates().serviceNanos(request.work, request.partial.tokens());
  }

  private void startAttempt(ActiveRequest request, Candidate candidate) {
    long slack = request.slackNanos(timers.nowNanos());
    request.setTimer(timers.after(Duration.ofNanos(Math.max(0, slack)), () -> expire(request)));
    if (candidate instanceof Candidate.Server server) {
      serverAttempts.start(request, context.finder().state(server, request));
    } else {
      forwardedAttempts.start(request, (Candidate.Zone) candidate);
    }
  }

  private void expire(ActiveRequest request) {
    boolean isQueued = request.state == ActiveRequest.State.QUEUED;
    String reason =
        isQueued
            ? "no server had room in time, " + queue(request.work.pool()).size() + " wait"
            : "no complete response from " + placeOf(request) + " before the deadline";
    withdraw(request);
    ResultCode code =
        request.mayHaveRun ? ResultCode.OUTCOME_UNKNOWN_DEADLINE : ResultCode.NOT_RUN_DEADLINE;
    finish(request, DecisionKind.DROP, ErrorDetail.of(code, reason), retryAfter(request));
    scheduler.run(request.work.pool(), queue(request.work.pool()));
  }

  private static String placeOf(ActiveRequest request) {
    return request.running == null ? "no server" : request.running.place();
  }

  /** Removes the request from its queue or stops its current attempt. */
  private void withdraw(ActiveRequest request) {
    RunningAttempt running = request.running;
    if (request.state == ActiveRequest.State.QUEUED) {
      queue(request.work.pool()).remove(request);
    } else if (running instanceof ServerAttempt attempt) {
      request.mayHaveRun = true;
      serverAttempts.stop(attempt);
    } else if (running instanceof ForwardedAttempt attempt) {
      request.mayHaveRun = true;
      forwardedAttempts.stop(attempt);
    }
  }

  private Optional<Duration> retryAfter(ActiveRequest request) {
    long slot = context.estimates().slotNanos(request.work.pool());
    int slots = Math.max(1, context.finder().slots(request.work.pool()));
    long drain = queue(request.work.pool()).size() * slot / slots;
    return Optional.of(Nanos.toDurationAtLeast(drain, settings.progressCheckInterval()));
  }

  /**
   * Ends the request and reports its outcome. The result code claims that the request did not run
   * only if no attempt may have run it.
   */
  private void finish(
      ActiveRequest request, DecisionKind kind, ErrorDetail error, Optional<Duration> retryAfter) {
    request.state = ActiveRequest.State.DONE;
    request.running = null;
    request.cancelTimer();
    active.remove(request.work.id());
    ErrorDetail consistent = Outcomes.withMatchingCode(request.mayHaveRun, error);
    recorder.record(request, kind, consistent.code().name(), consistent.message());
    request.listener.onOutcome(Outcomes.of(request.mayHaveRun, consistent, retryAfter));
  }

  private void onTick() {
    serverAttempts.checkCrashes();
    serverAttempts.checkProgress(this::mayRestartElsewhere);
    for (Map.Entry<PoolId, PoolQueue> entry : queues.entrySet()) {
      scheduler.run(entry.getKey(), entry.getValue());
      context.servers().removeUnlisted(entry.getKey());
    }
  }

  private boolean mayRestartElsewhere(ActiveRequest request) {
    return request.work.idempotent()
        && retryBudget.isAvailable(request.work.workClass())
        && retryPolicy.decide(
                retryInput(request, true, false, ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST))
            instanceof RetryPolicy.Decision.Retry;
  }

  private RetryPolicy.Input retryInput(
      ActiveRequest request, boolean ran, boolean progressed, ResultCode failure) {
    return new RetryPolicy.Input(
        request.work.idempotent(),
        ran,
        progressed,
        request.partial.isResumable(),
        request.attempts,
        request.refusals,
        settings.maxAttempts(),
        request.slackNanos(timers.nowNanos()),
        serviceNanos(request),
        failure);
  }

  /** Completes, retries or fails requests whose attempts have ended. */
  private final class ResultHandler implements AttemptResultHandler {

    @Override
    public void onCompleted(ActiveRequest request, CompletedResponse response) {
      request.state = ActiveRequest.State.DONE;
      request.running = null;
      request.cancelTimer();
      active.remove(request.work.id());
      retryBudget.onSuccess(request.work.workClass());
      recorder.record(
          request,
          DecisionKind.COMPLETE,
          response.server().value(),
          request.attempts + " attempts, " + response.tokens() + " tokens");
      request.partial.flush();
      request.listener.onOutcome(new Outcome.Completed(response));
      scheduler.run(request.work.pool(), queue(request.work.pool()));
    }

    @Override
    public void onFailed(ActiveRequest request, AttemptFailure failure) {
      recordAttempt(request, failure);
      RetryPolicy.Decision decision = decide(request, failure);
      if (decision instanceof RetryPolicy.Decision.Retry retry) {
        retry(request, failure, retry.reason());
      } else {
        RetryPolicy.Decision.GiveUp giveUp = (RetryPolicy.Decision.GiveUp) decision;
        ErrorDetail error =
            ErrorDetail.of(giveUp.code(), failure.error().message() + "; " + giveUp.reason());
        Optional<Duration> retryAfter =
            failure.retryAfter().isPresent() ? failure.retryAfter() : retryAfter(request);
        finish(request, DecisionKind.FAIL, error, retryAfter);
      }
      scheduler.run(request.work.pool(), queue(request.work.pool()));
    }

    private void recordAttempt(ActiveRequest request, AttemptFailure failure) {
      if (failure.mayHaveRun()) {
        request.mayHaveRun = true;
        request.lastError = failure.error();
      } else {
        request.attempts--;
        request.refusals++;
      }
    }

    private RetryPolicy.Decision decide(ActiveRequest request, AttemptFailure failure) {
      if (failure.error().code() == ResultCode.NOT_RUN_QUARANTINED
          || context.quarantine().remaining(request, timers.nowNanos()).isPresent()) {
        return new RetryPolicy.Decision.GiveUp(
            ResultCode.NOT_RUN_QUARANTINED, "its content is quarantined");
      }
      ErrorDetail last = request.lastError == null ? failure.error() : request.lastError;
      RetryPolicy.Decision decision =
          retryPolicy.decide(
              retryInput(request, request.mayHaveRun, failure.progressed(), last.code()));
      if (decision instanceof RetryPolicy.Decision.Retry retry
          && failure.mayHaveRun()
          && retry.chargesBudget()
          && !retryBudget.tryTake(request.work.workClass(), retryCost(request, failure))) {
        return new RetryPolicy.Decision.GiveUp(
            last.code(), "retry budget of " + request.work.workClass() + " is used up");
      }
      return decision;
    }

    /**
     * Returns the slot time that the failed attempt used, as a fraction of the mean slot time of a
     * request; at most 1, and 1 if the mean is unknown.
     */
    private double retryCost(ActiveRequest request, AttemptFailure failure) {
      long slot = context.estimates().slotNanos(request.work.pool());
      return slot == 0 ? 1 : Math.min(1, (double) failure.heldNanos() / slot);
    }

    private void retry(ActiveRequest request, AttemptFailure failure, String reason) {
      long offset = request.partial.tokens();
      recorder.record(
          request,
          offset > 0 ? DecisionKind.RESUME : DecisionKind.RETRY,
          offset > 0 ? "offset " + offset : "from the start",
          failure.error().message() + "; " + reason);
      enqueue(request);
    }
  }
}
