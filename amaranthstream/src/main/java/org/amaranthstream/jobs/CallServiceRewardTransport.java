package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.calls.CallPolicy;
import org.amaranthstream.calls.CallService;
import org.amaranthstream.calls.CallerExchange;
import org.amaranthstream.calls.OutboundCall;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;

/**
 * Reward transport over the service that forwards callers' requests, so that reward calls share its
 * routes, connections and view of the servers.
 *
 * <p>Must be used on the thread of the call service.
 */
public final class CallServiceRewardTransport implements RewardTransport {
  private final CallService calls;

  private CallServiceRewardTransport(CallService calls) {
    this.calls = calls;
  }

  /** Returns a transport over {@code calls}. */
  public static CallServiceRewardTransport over(CallService calls) {
    return new CallServiceRewardTransport(checkNotNull(calls, "calls"));
  }

  @Override
  public StageRun start(
      Route route, RewardCall call, Duration timeout, Consumer<RewardOutcome> listener) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().set(HttpHeaders.HOST, call.host());
    OutboundCall outbound =
        new OutboundCall(
            call.id().value(),
            HttpMethod.POST.name(),
            call.path(),
            headers,
            Buffer.buffer(call.body()),
            Optional.empty(),
            Optional.empty());
    RewardExchange exchange = new RewardExchange(listener);
    calls.start(route, CallPolicy.owed(), outbound, timeout, exchange);
    return exchange::cancel;
  }

  /** Exchange that turns the response to a reward call into its outcome. */
  private static final class RewardExchange implements CallerExchange {
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final Consumer<RewardOutcome> listener;
    private Runnable onCancel = () -> {};
    private RewardOutcome streamed = new RewardOutcome.Broken("the response has not started");

    private RewardExchange(Consumer<RewardOutcome> listener) {
      this.listener = listener;
    }

    private void cancel() {
      onCancel.run();
    }

    @Override
    public void onCallerDisconnected(Runnable task) {
      onCancel = task;
    }

    @Override
    public void sendResponse(ResponseHead head, Buffer body) {
      listener.accept(outcome(head));
    }

    private static RewardOutcome outcome(ResponseHead head) {
      if (head.isSuccess() && head.signature().isPresent()) {
        return new RewardOutcome.Scored(new Score(head.signature().get()));
      }
      return head.status().code() == INTERNAL_SERVER_ERROR
          ? new RewardOutcome.Failed(head.status().code())
          : new RewardOutcome.Broken("the server responded with HTTP " + head.status());
    }

    @Override
    public void beginResponse(ResponseHead head) {
      streamed = outcome(head);
    }

    /** Discards the body, since only the signature is the score. */
    @Override
    public void write(Buffer data) {}

    @Override
    public boolean isFull() {
      return false;
    }

    @Override
    public void onDrained(Runnable task) {}

    @Override
    public void end() {
      listener.accept(streamed);
    }

    @Override
    public void abort() {
      listener.accept(new RewardOutcome.Broken("the response is incomplete"));
    }

    @Override
    public void fail(ErrorDetail error, Duration retryAfter) {
      boolean isNotRun =
          error.code() == ResultCode.NOT_RUN_NO_BACKEND
              || error.code() == ResultCode.NOT_RUN_DEADLINE;
      listener.accept(
          isNotRun
              ? new RewardOutcome.NotRun(error.message(), retryAfter)
              : new RewardOutcome.Broken(error.message()));
    }
  }
}
