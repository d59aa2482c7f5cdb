package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.config.OperatorConfig;
import org.amaranthstream.config.Pool;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A handler of calls to interactive work classes: {@code POST /v1/classes/:class/calls}.
 *
 * <p>If the decision thread's task queue is full, the call is rejected immediately as not run.
 * Thread safe.
 */
public final class CallHandler implements Handler<RoutingContext> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofMillis(200);

  private final Supplier<OperatorConfig> config;
  private final RequestIdGenerator requestIds;
  private final TimerService timers;
  private final Duty decisions;
  private final CallRunner directRunner;
  private final CallRunner claimingRunner;
  private final WorkRunner runner;
  private final VersionSource versions;
  private final CallObserver observer;

  private CallHandler(Builder builder) {
    this.config = checkNotNull(builder.config, "config");
    this.requestIds = checkNotNull(builder.requestIds, "requestIds");
    this.timers = checkNotNull(builder.timers, "timers");
    this.decisions = checkNotNull(builder.decisions, "decisions");
    this.runner = checkNotNull(builder.runner, "runner");
    this.directRunner = DirectCallRunner.of(runner);
    this.claimingRunner = checkNotNull(builder.claimingRunner, "claimingRunner");
    this.versions = checkNotNull(builder.versions, "versions");
    this.observer = checkNotNull(builder.observer, "observer");
  }

  /** Returns an empty builder; every property is required. */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public void handle(RoutingContext routing) {
    RequestId id = requestIds.next();
    HttpServerResponse response = routing.response();
    response.putHeader(IngressResponses.REQUEST_ID_HEADER, id.toString());
    Buffer body = routing.body().buffer() == null ? Buffer.buffer() : routing.body().buffer();
    Result<CallRequest> parsed =
        CallParser.parse(config.get(), routing.pathParam("class"), routing.request(), body);
    if (parsed instanceof Result.Success<CallRequest> call) {
      startCall(id, call.value(), routing);
    } else {
      ErrorDetail error = ((Result.Failure<CallRequest>) parsed).error();
      IngressResponses.error(response, error, Optional.of(id), Optional.empty());
    }
  }

  private void startCall(RequestId id, CallRequest call, RoutingContext routing) {
    HttpServerResponse response = routing.response();
    long startNanos = timers.nowNanos();
    Work work = newWork(id, call, startNanos);
    Context context = Vertx.currentContext();
    ResponseWriter writer = writerFor(call, response, id);
    ResponseWriter observed =
        new ObservedResponseWriter(
            writer, outcome -> reportOutcome(id, call.workClass(), startNanos, outcome));
    Runnable cancel = () -> decisions.offer(() -> runner.cancel(id));
    EventLoopWorkListener listener = new EventLoopWorkListener(context, observed, cancel);
    if (call.workClass().idempotent()) {
      response.closeHandler(closed -> cancelIfNotEnded(response, cancel));
    }
    CallRunner callRunner = call.workClass().idempotent() ? directRunner : claimingRunner;
    CallerId caller = RoleAuthorizationHandler.credentialOf(routing).name();
    if (!decisions.offer(() -> callRunner.run(caller, call.idempotencyKey(), work, listener))) {
      observed.end(queueFull());
    }
  }

  private static void cancelIfNotEnded(HttpServerResponse response, Runnable cancel) {
    if (!response.ended()) {
      cancel.run();
    }
  }

  private void reportOutcome(RequestId id, WorkClass workClass, long startNanos, Outcome outcome) {
    Duration latency = Duration.ofNanos(timers.nowNanos() - startNanos);
    observer.onOutcome(workClass.id(), outcome, latency);
    if (!(outcome instanceof Outcome.Completed)) {
      logger.atInfo().log(
          "event=call_not_completed request=%s class=%s took_ms=%d outcome=%s",
          id, workClass.id(), latency.toMillis(), outcome);
    }
  }

  private static Outcome queueFull() {
    ErrorDetail error =
        ErrorDetail.of(ResultCode.NOT_RUN_QUEUE_FULL, "the decision thread's task queue is full");
    return new Outcome.NotRun(error, Optional.of(QUEUE_FULL_RETRY_AFTER));
  }

  private static ResponseWriter writerFor(
      CallRequest call, HttpServerResponse response, RequestId id) {
    if (call.payload() instanceof Payload.Call) {
      return new PlainServiceResponseWriter(response, id);
    }
    return call.streamed()
        ? new NdjsonResponseWriter(response, id)
        : new JsonResponseWriter(response, id);
  }

  private Work newWork(RequestId id, CallRequest call, long nowNanos) {
    WorkClass workClass = call.workClass();
    Work.Builder work =
        Work.builder()
            .id(id)
            .workClass(workClass.id())
            .pool(workClass.pool())
            .priority(Priority.INTERACTIVE)
            .idempotent(workClass.idempotent())
            .payload(call.payload())
            .deadlineNanos(nowNanos + call.timeLimit().toNanos());
    call.affinity().ifPresent(work::affinity);
    minimumVersion(workClass).ifPresent(work::minimumVersion);
    return work.build();
  }

  private Optional<WeightVersion> minimumVersion(WorkClass workClass) {
    Pool pool = config.get().pools().get(workClass.pool());
    if (pool == null || pool.model().isEmpty()) {
      return Optional.empty();
    }
    return versions
        .newest(pool.model().get())
        .map(newest -> WeightVersion.of(Math.max(0, newest.value() - workClass.stalenessBound())));
  }

  /** Builder of {@link CallHandler}. */
  public static final class Builder {
    private @Nullable Supplier<OperatorConfig> config;
    private @Nullable RequestIdGenerator requestIds;
    private @Nullable TimerService timers;
    private @Nullable Duty decisions;
    private @Nullable WorkRunner runner;
    private @Nullable CallRunner claimingRunner;
    private @Nullable VersionSource versions;
    private @Nullable CallObserver observer;

    private Builder() {}

    /** Sets the source of the active configuration. */
    @CanIgnoreReturnValue
    public Builder config(Supplier<OperatorConfig> config) {
      this.config = config;
      return this;
    }

    /** Sets the generator of request ids. */
    @CanIgnoreReturnValue
    public Builder requestIds(RequestIdGenerator requestIds) {
      this.requestIds = requestIds;
      return this;
    }

    /** Sets the source of the monotonic time. */
    @CanIgnoreReturnValue
    public Builder timers(TimerService timers) {
      this.timers = timers;
      return this;
    }

    /** Sets the task queue of the decision thread. */
    @CanIgnoreReturnValue
    public Builder decisions(Duty decisions) {
      this.decisions = decisions;
      return this;
    }

    /** Sets the runner of idempotent calls. */
    @CanIgnoreReturnValue
    public Builder runner(WorkRunner runner) {
      this.runner = runner;
      return this;
    }

    /** Sets the runner of calls that are not idempotent and may run at most once. */
    @CanIgnoreReturnValue
    public Builder claimingRunner(CallRunner claimingRunner) {
      this.claimingRunner = claimingRunner;
      return this;
    }

    /** Sets the source of announced weight versions. */
    @CanIgnoreReturnValue
    public Builder versions(VersionSource versions) {
      this.versions = versions;
      return this;
    }

    /** Sets the observer of outcomes. */
    @CanIgnoreReturnValue
    public Builder observer(CallObserver observer) {
      this.observer = observer;
      return this;
    }

    /**
     * Returns the handler.
     *
     * @throws NullPointerException if a property is not set
     */
    public CallHandler build() {
      return new CallHandler(this);
    }
  }
}
