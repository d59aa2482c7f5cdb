package org.amaranthstream.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Factory of the HTTP clients of a process, whose responses have strict framing as described at
 * {@link ResponseFraming}.
 *
 * <p>Each connection that is closed because of bytes that are part of no response is counted; a
 * line a second at most is logged for each kind of client. Thread safe.
 *
 * <pre>{@code
 * HttpClientAgent client =
 *     FramedHttpClients.on(vertx)
 *         .create(HttpClientKind.ORDERS, options, new PoolOptions(), ImmutableSet.of());
 * }</pre>
 */
public final class FramedHttpClients {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Vertx vertx;
  private final ImmutableMap<HttpClientKind, LongAdder> faults =
      Maps.toMap(Arrays.asList(HttpClientKind.values()), kind -> new LongAdder());

  private FramedHttpClients(Vertx vertx) {
    this.vertx = checkNotNull(vertx, "vertx");
  }

  /** Returns a factory of clients that use the event loops of {@code vertx}. */
  public static FramedHttpClients on(Vertx vertx) {
    return new FramedHttpClients(vertx);
  }

  /**
   * Returns a client that opens connections on demand.
   *
   * @param kind names the client in logs and metrics
   * @param singleFields the names of the fields, beside those that delimit the body, that the head
   *     of a response has once at most
   */
  public HttpClientAgent create(
      HttpClientKind kind,
      HttpClientOptions options,
      PoolOptions pool,
      ImmutableSet<String> singleFields) {
    ResponseFraming framing =
        ResponseFraming.create(
            singleFields, (connection, fault) -> onFault(kind, connection, fault));
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(pool)
        .withConnectHandler(
            connection -> {
              connection.exceptionHandler(cause -> logError(kind, cause));
              framing.apply(connection);
            })
        .build();
  }

  /** Logs the error only: the requests on the connection fail by themselves. */
  private static void logError(HttpClientKind kind, Throwable cause) {
    logger.atFine().log("event=connection_broken client=%s cause=\"%s\"", kind.label(), cause);
  }

  private void onFault(HttpClientKind kind, HttpConnection connection, FramingFault fault) {
    LongAdder count = checkNotNull(faults.get(kind));
    count.increment();
    logger
        .atInfo()
        .per(kind)
        .atMostEvery(1, TimeUnit.SECONDS)
        .log(
            "event=response_bytes_invalid client=%s server=%s kind=%s reason=\"%s\" requests=%d"
                + " bytes=\"%s\" count=%d",
            kind.label(),
            connection.remoteAddress(),
            fault.kind(),
            fault.reason(),
            fault.requests(),
            fault.excerpt(),
            count.sum());
  }

  /**
   * Returns the number of connections of the clients of a kind that were closed because of bytes
   * that are part of no response.
   */
  public long faultCount(HttpClientKind kind) {
    return checkNotNull(faults.get(kind)).sum();
  }
}
