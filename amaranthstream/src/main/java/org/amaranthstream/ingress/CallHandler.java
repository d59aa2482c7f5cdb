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
 * Takes calls of interactive classes: {@code POST /v1/classes/:class/calls}.
 *
 * <p>Thread safe. A call that cannot be handed to the decision duty is refused at once as not run.
 */
public final class CallHandler implements Handler<RoutingContext> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RING_FULL_RETRY = Duration.ofMillis(200);

  private final Supplier<OperatorConfig> config;
  private final RequestIds ids;
  private final TimerService timers;
  private final Duty decisions;
  private final CallRunner direct;
  private final CallRunner once;
  private final WorkRunner runner;
  private final VersionSource versions;
  private final CallObserver observer;

  private CallHandler(Builder builder) {
    this.config = checkNotNull(builder.config, "config");
    this.ids = checkNotNull(builder.ids, "ids");
    this.timers = checkNotNull(builder.timers, "timers");
    this.decisions = checkNotNull(builder.decisions, "decisions");
    this.runner = checkNotNull(builder.runner, "runner");
    this.direct = DirectCallRunner.of(runner);
    this.once = checkNotNull(builder.once, "once");
    this.versions = checkNotNull(builder.versions, "versions");
    this.observer = checkNotNull(builder.observer, "observer");
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public void handle(RoutingContext routing) {
    RequestId id = ids.mint();
    HttpServerResponse response = routing.response();
    response.putHeader(HttpAnswers.REQUEST_ID_HEADER, id.toString());
    Buffer body = routing.body().buffer() == null ? Buffer.buffer() : routing.body().buffer();
    Result<CallRequest> parsed =
        CallParser.parse(config.get(), routing.pathParam("class"), routing.request(), body);
    if (parsed instanceof Result.Success<CallRequest> call) {
      start(id, call.value(), routing);
    } else {
      ErrorDetail error = ((Result.Failure<CallRequest>) parsed).error();
      HttpAnswers.error(response, error, Optional.of(id), Optional.empty());
    }
  }

  private void start(RequestId id, CallRequest call, RoutingContext routing) {
    HttpServerResponse response = routing.response();
    long startNanos = timers.nowNanos();
    Work work = workOf(id, call, startNanos);
    Context context = Vertx.currentContext();
    AnswerWriter writer = writerFor(call, response, id);
    AnswerWriter observed =
        new ObservedAnswerWriter(
            writer, outcome -> observe(id, call.workClass(), startNanos, outcome));
    Runnable cancel = () -> decisions.offer(() -> runner.cancel(id));
    CallerAnswer answer = new CallerAnswer(context, observed, cancel);
    if (call.workClass().idempotent()) {
      response.closeHandler(closed -> cancelUnlessEnded(response, cancel));
    }
    CallRunner how = call.workClass().idempotent() ? direct : once;
    CallerId caller = RoleGate.credentialOf(routing).name();
    if (!decisions.offer(() -> how.run(caller, call.idempotencyKey(), work, answer))) {
      observed.end(ringFull());
    }
  }

  private static void cancelUnlessEnded(HttpServerResponse response, Runnable cancel) {
    if (!response.ended()) {
      cancel.run();
    }
  }

  private void observe(RequestId id, WorkClass workClass, long startNanos, Outcome outcome) {
    Duration took = Duration.ofNanos(timers.nowNanos() - startNanos);
    observer.onAnswer(workClass.id(), outcome, took);
    if (!(outcome instanceof Outcome.Completed)) {
      logger.atInfo().log(
          "event=call_not_completed request=%s class=%s took_ms=%d outcome=%s",
          id, workClass.id(), took.toMillis(), outcome);
    }
  }

  private static Outcome ringFull() {
    ErrorDetail error =
        ErrorDetail.of(ResultCode.NOT_RUN_QUEUE_FULL, "the ring of the decision duty is full");
    return new Outcome.NotRun(error, Optional.of(RING_FULL_RETRY));
  }

  private static AnswerWriter writerFor(
      CallRequest call, HttpServerResponse response, RequestId id) {
    if (call.payload() instanceof Payload.Call) {
      return new PlainAnswerWriter(response, id);
    }
    return call.streamed()
        ? new StreamAnswerWriter(response, id)
        : new WholeAnswerWriter(response, id);
  }

  private Work workOf(RequestId id, CallRequest call, long nowNanos) {
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
    private @Nullable RequestIds ids;
    private @Nullable TimerService timers;
    private @Nullable Duty decisions;
    private @Nullable WorkRunner runner;
    private @Nullable CallRunner once;
    private @Nullable VersionSource versions;
    private @Nullable CallObserver observer;

    private Builder() {}

    /** Sets the source of the configuration in force. */
    @CanIgnoreReturnValue
    public Builder config(Supplier<OperatorConfig> config) {
      this.config = config;
      return this;
    }

    /** Sets the source of request ids. */
    @CanIgnoreReturnValue
    public Builder ids(RequestIds ids) {
      this.ids = ids;
      return this;
    }

    /** Sets the clock. */
    @CanIgnoreReturnValue
    public Builder timers(TimerService timers) {
      this.timers = timers;
      return this;
    }

    /** Sets the decision duty. */
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

    /** Sets the runner of calls that may run at most once. */
    @CanIgnoreReturnValue
    public Builder once(CallRunner once) {
      this.once = once;
      return this;
    }

    /** Sets the source of announced weight versions. */
    @CanIgnoreReturnValue
    public Builder versions(VersionSource versions) {
      this.versions = versions;
      return this;
    }

    /** Sets the observer of answers. */
    @CanIgnoreReturnValue
    public Builder observer(CallObserver observer) {
      this.observer = observer;
      return this;
    }

    /** Returns the handler. */
    public CallHandler build() {
      return new CallHandler(this);
    }
  }
}
