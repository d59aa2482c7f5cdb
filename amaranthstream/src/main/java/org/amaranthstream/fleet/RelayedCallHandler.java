package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.amaranthstream.calls.CallService;
import org.amaranthstream.calls.CallerExchange;
import org.amaranthstream.calls.RelayedCall;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.fleet.wire.CallRequest;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.memory.Reservation;
import org.amaranthstream.peer.ExchangeHandler;
import org.amaranthstream.peer.ExchangeResponder;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.ReachMonitor;

/**
 * Handler of the calls that other daemons relay. It forwards them to servers as it does the calls
 * of callers, and rejects them at once if this daemon reaches no server either.
 *
 * <p>Must be used on the thread of the daemon's timers.
 */
public final class RelayedCallHandler implements ExchangeHandler {
  private final RoutingTable routing;
  private final ReachMonitor reach;
  private final CallService calls;
  private final BooleanSupplier isDraining;
  private final MemoryBudget budget;

  private RelayedCallHandler(
      RoutingTable routing,
      ReachMonitor reach,
      CallService calls,
      BooleanSupplier isDraining,
      MemoryBudget budget) {
    this.routing = routing;
    this.reach = reach;
    this.calls = calls;
    this.isDraining = isDraining;
    this.budget = budget;
  }

  /**
   * Returns a handler that forwards calls with {@code calls}.
   *
   * @param isDraining returns true once this daemon accepts no new calls from peers
   * @param budget the budget of the bodies and of buffered responses
   */
  public static RelayedCallHandler create(
      RoutingTable routing,
      ReachMonitor reach,
      CallService calls,
      BooleanSupplier isDraining,
      MemoryBudget budget) {
    return new RelayedCallHandler(
        checkNotNull(routing, "routing"),
        checkNotNull(reach, "reach"),
        checkNotNull(calls, "calls"),
        checkNotNull(isDraining, "isDraining"),
        checkNotNull(budget, "budget"));
  }

  @Override
  public Runnable onRequest(
      LocalVm from, byte[] encoded, Duration timeLeft, ExchangeResponder responder) {
    if (isDraining.getAsBoolean()) {
      return reject(responder, ResultCode.NOT_RUN_SHUTTING_DOWN, "this daemon is shutting down");
    }
    CallRequest request;
    try {
      request = CallRequest.parseFrom(encoded);
    } catch (InvalidProtocolBufferException e) {
      return reject(responder, ResultCode.INVALID_REQUEST, "malformed relayed call: " + e);
    }
    Optional<RoutingConfig> config =
        routing.current().filter(active -> active.version() >= request.getConfigVersion());
    if (config.isEmpty()) {
      return reject(
          responder,
          ResultCode.NOT_RUN_STALE,
          "the configuration is older than " + request.getConfigVersion());
    }
    Reservation memory = budget.open();
    if (!memory.tryGrow(request.getBody().size())) {
      return reject(
          responder, ResultCode.NOT_RUN_OVERLOADED, "this daemon has no memory for the body");
    }
    return start(CallCodec.decodeCall(request), config.get(), timeLeft, responder, memory);
  }

  private Runnable start(
      RelayedCall call,
      RoutingConfig config,
      Duration timeLeft,
      ExchangeResponder responder,
      Reservation memory) {
    Optional<Route> route = RelayedRoute.find(config, call.call());
    if (route.isEmpty()) {
      memory.release();
      return reject(responder, ResultCode.NO_ROUTE, "no route matches " + call.call().uri());
    }
    if (route.get().services().stream().allMatch(service -> isLost(service.service()))) {
      memory.release();
      return reject(
          responder, ResultCode.NOT_RUN_NO_BACKEND, "this daemon reaches no server either");
    }
    RelayedExchange exchange = new RelayedExchange(responder, memory);
    calls.startRelayed(route.get(), call, timeLeft, exchange);
    return exchange::cancel;
  }

  private boolean isLost(ServiceId service) {
    return reach.isLost(service);
  }

  private static Runnable reject(ExchangeResponder responder, ResultCode code, String message) {
    responder.fail(new Outcome.NotRun(ErrorDetail.of(code, message), Optional.empty()));
    return () -> {};
  }

  /** Exchange that passes the response on to the daemon that relayed the call. */
  private static final class RelayedExchange implements CallerExchange {
    private final ExchangeResponder responder;
    private final Reservation memory;
    private Runnable onCancel = () -> {};

    private RelayedExchange(ExchangeResponder responder, Reservation memory) {
      this.responder = responder;
      this.memory = memory;
    }

    @Override
    public boolean reserve(int bytes) {
      return memory.tryGrow(bytes);
    }

    @Override
    public void onCallEnded() {
      memory.release();
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
      beginResponse(head);
      write(body);
      end();
    }

    @Override
    public void beginResponse(ResponseHead head) {
      send(CallCodec.encodeHead(head));
    }

    @Override
    public void write(Buffer data) {
      if (data.length() > 0) {
        send(CallCodec.encodeData(data));
      }
    }

    private void send(byte[] part) {
      if (!responder.sendPart(part)) {
        cancel();
      }
    }

    @Override
    public boolean isFull() {
      return responder.isPaused();
    }

    @Override
    public void onDrained(Runnable task) {
      responder.onResumed(task);
    }

    @Override
    public void end() {
      responder.end();
    }

    @Override
    public void abort() {
      responder.fail(
          new Outcome.OutcomeUnknown(
              ErrorDetail.of(
                  ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST, "the response is incomplete")));
    }

    @Override
    public void fail(ErrorDetail error, Duration retryAfter) {
      if (error.code().isNotRun()) {
        responder.fail(new Outcome.NotRun(error, Optional.of(retryAfter)));
      } else {
        responder.fail(new Outcome.OutcomeUnknown(error));
      }
    }
  }
}
