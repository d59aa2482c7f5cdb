package org.amaranthstream.ingress;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * A handler that counts the requests in flight and rejects new ones while the daemon is draining.
 *
 * <p>A request is in flight from its arrival until its response is written or its connection is
 * closed. Thread safe.
 */
public final class DrainHandler implements Handler<RoutingContext> {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean draining;

  private DrainHandler() {}

  /** Returns a handler that accepts requests until {@link #startDraining} is called. */
  public static DrainHandler create() {
    return new DrainHandler();
  }

  /** Starts to reject new requests. Requests in flight are not affected. */
  public void startDraining() {
    draining = true;
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns a handler that counts requests in the same total and never rejects one. */
  public Handler<RoutingContext> countingHandler() {
    return routing -> {
      count(routing);
      routing.next();
    };
  }

  private void count(RoutingContext routing) {
    inFlight.incrementAndGet();
    routing.addEndHandler(ended -> inFlight.decrementAndGet());
  }

  @Override
  public void handle(RoutingContext routing) {
    count(routing);
    if (!draining) {
      routing.next();
      return;
    }
    routing.response().putHeader("Connection", "close");
    ErrorDetail error =
        ErrorDetail.of(ResultCode.NOT_RUN_SHUTTING_DOWN, "this entry VM is shutting down");
    IngressResponses.error(routing.response(), error, Optional.empty(), Optional.of(RETRY_AFTER));
  }
}
