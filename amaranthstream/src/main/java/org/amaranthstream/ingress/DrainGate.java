package org.amaranthstream.ingress;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * Counts the calls in flight and refuses new ones once the daemon has stopped accepting.
 *
 * <p>A call counts from its arrival until its answer has been written or its caller is gone. Thread
 * safe.
 */
public final class DrainGate implements Handler<RoutingContext> {
  private static final Duration COME_BACK = Duration.ofSeconds(1);

  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean closed;

  private DrainGate() {}

  /** Returns an open gate. */
  public static DrainGate create() {
    return new DrainGate();
  }

  /** Refuses calls from now on; those in flight go on. */
  public void close() {
    closed = true;
  }

  /** Returns the number of calls in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns a handler that counts calls and refuses none. */
  public Handler<RoutingContext> countingOnly() {
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
    if (!closed) {
      routing.next();
      return;
    }
    routing.response().putHeader("Connection", "close");
    ErrorDetail error =
        ErrorDetail.of(ResultCode.NOT_RUN_SHUTTING_DOWN, "this entry VM is shutting down");
    HttpAnswers.error(routing.response(), error, Optional.empty(), Optional.of(COME_BACK));
  }
}
