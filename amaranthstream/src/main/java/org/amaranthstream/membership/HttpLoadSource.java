package org.amaranthstream.membership;

import com.google.common.collect.ImmutableSet;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthstream.http.ConnectionUse;
import org.amaranthstream.http.ConnectionUses;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.HttpClientKind;
import org.amaranthstream.http.ResponseOrigin;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Load source that sends {@code GET /v1/load} to the backend server.
 *
 * <p>A connection is used again only after the complete report of its last request, which names
 * that request. Thread safe.
 */
public final class HttpLoadSource implements LoadSource {
  private static final String PATH = "/v1/load";
  private static final int MAX_BODY_BYTES = 4096;
  private static final int OK = 200;

  private final HttpClient client;
  private final TimerService timers;
  private final Duration timeout;
  private final ConnectionUses connectionUses = ConnectionUses.create();
  private final AtomicLong requestCount = new AtomicLong();

  private HttpLoadSource(FramedHttpClients clients, TimerService timers, Duration timeout) {
    this.client =
        clients.create(
            HttpClientKind.LOAD_REPORTS,
            new HttpClientOptions(),
            new PoolOptions(),
            ImmutableSet.of(ResponseOrigin.HEADER));
    this.timers = timers;
    this.timeout = timeout;
  }

  /**
   * Returns a source with a client of {@code clients}.
   *
   * @param timeout time within which a server must respond, including the connection setup
   */
  public static HttpLoadSource create(
      FramedHttpClients clients, TimerService timers, Duration timeout) {
    return new HttpLoadSource(clients, timers, timeout);
  }

  @Override
  public CompletableFuture<Result<LoadReport>> poll(BackendServer server) {
    long requestedNanos = timers.nowNanos();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(server.host())
            .setPort(server.port())
            .setURI(PATH)
            .setConnectTimeout(timeout.toMillis())
            .setTimeout(timeout.toMillis());
    return client
        .request(options)
        .compose(this::send)
        .map(body -> LoadReportJson.parse(body, requestedNanos))
        .otherwise(e -> Result.failure(ResultCode.BACKEND_FAILED, "load request failed: " + e))
        .toCompletionStage()
        .toCompletableFuture();
  }

  private Future<Buffer> send(HttpClientRequest request) {
    String id = "load-" + requestCount.incrementAndGet();
    ConnectionUse use = connectionUses.add(request.connection());
    return request
        .putHeader(ResponseOrigin.HEADER, id)
        .send()
        .compose(response -> read(response, originOf(response, id, use)));
  }

  private static ResponseOrigin originOf(
      HttpClientResponse response, String id, ConnectionUse use) {
    return ResponseOrigin.of(id, response.getHeader(ResponseOrigin.HEADER), use);
  }

  private static Future<Buffer> read(HttpClientResponse response, ResponseOrigin origin) {
    if (!origin.isOwn()) {
      return closeAndFail(response, "response may belong to another request: " + origin);
    }
    if (response.statusCode() != OK) {
      return closeAndFail(response, "unexpected HTTP status " + response.statusCode());
    }
    Future<Buffer> body = readBody(response);
    if (origin == ResponseOrigin.FIRST_ON_CONNECTION) {
      // A second copy of it could not be told from the response to the next request.
      body.onComplete(unused -> response.request().connection().close());
    }
    return body;
  }

  /** Fails the request. Resetting it would keep the connection if the response has ended. */
  private static Future<Buffer> closeAndFail(HttpClientResponse response, String reason) {
    response.request().connection().close();
    return Future.failedFuture(reason);
  }

  private static Future<Buffer> readBody(HttpClientResponse response) {
    Promise<Buffer> promise = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        part -> {
          body.appendBuffer(part);
          if (body.length() > MAX_BODY_BYTES) {
            promise.tryFail("load response body exceeds " + MAX_BODY_BYTES + " bytes");
            response.request().connection().close();
          }
        });
    response.exceptionHandler(promise::tryFail);
    response.endHandler(unused -> promise.tryComplete(body));
    return promise.future();
  }
}
