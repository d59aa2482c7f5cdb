package org.amaranthstream.membership;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/** Load source that sends {@code GET /v1/load} to the backend server. Thread safe. */
public final class HttpLoadSource implements LoadSource {
  private static final String PATH = "/v1/load";
  private static final int MAX_BODY_BYTES = 4096;
  private static final int OK = 200;

  private final HttpClient client;
  private final TimerService timers;
  private final Duration timeout;

  private HttpLoadSource(HttpClient client, TimerService timers, Duration timeout) {
    this.client = client;
    this.timers = timers;
    this.timeout = timeout;
  }

  /**
   * Returns a source that uses {@code client}.
   *
   * @param timeout time within which a server must respond, including the connection setup
   */
  public static HttpLoadSource create(HttpClient client, TimerService timers, Duration timeout) {
    return new HttpLoadSource(client, timers, timeout);
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
        .compose(HttpClientRequest::send)
        .compose(HttpLoadSource::readBody)
        .map(body -> LoadReportJson.parse(body, requestedNanos))
        .otherwise(e -> Result.failure(ResultCode.BACKEND_FAILED, "load request failed: " + e))
        .toCompletionStage()
        .toCompletableFuture();
  }

  private static Future<Buffer> readBody(HttpClientResponse response) {
    if (response.statusCode() != OK) {
      response.request().reset();
      return Future.failedFuture("unexpected HTTP status " + response.statusCode());
    }
    Promise<Buffer> promise = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        part -> {
          body.appendBuffer(part);
          if (body.length() > MAX_BODY_BYTES) {
            promise.tryFail("load response body exceeds " + MAX_BODY_BYTES + " bytes");
            response.request().reset();
          }
        });
    response.exceptionHandler(promise::tryFail);
    response.endHandler(unused -> promise.tryComplete(body));
    return promise.future();
  }
}
