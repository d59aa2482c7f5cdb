package org.amaranthstream.standins.server;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** HTTP calls of a thread that waits for each answer. Thread safe; never on an event loop. */
public final class BlockingHttpClient implements AutoCloseable {
  private static final int POOL_SIZE = 64;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client =
      vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(POOL_SIZE));
  private final Optional<String> bearerToken;

  /** Creates a client that sends {@code bearerToken} with each call. */
  public BlockingHttpClient(Optional<String> bearerToken) {
    this.bearerToken = bearerToken;
  }

  /**
   * Calls and waits for the whole answer.
   *
   * @throws IOException if there is none within {@code timeout}
   */
  public HttpResponse call(HttpMethod method, String url, String body, Duration timeout)
      throws IOException {
    return call(method, url, body, timeout, Map.of());
  }

  /**
   * Calls with headers and waits for the whole answer.
   *
   * @throws IOException if there is none within {@code timeout}
   */
  public HttpResponse call(
      HttpMethod method, String url, String body, Duration timeout, Map<String, String> headers)
      throws IOException {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setAbsoluteURI(url)
            .setIdleTimeout(timeout.toMillis());
    Future<HttpResponse> reply =
        client.request(options).compose(request -> send(request, body, headers));
    return await(reply, timeout);
  }

  /** Waits until {@code delay} has passed. */
  public void pause(Duration delay) {
    try {
      await(vertx.timer(Math.max(1, delay.toMillis())), delay.plusSeconds(5));
    } catch (IOException e) {
      throw new IllegalStateException("timer of " + delay + " did not fire", e);
    }
  }

  @Override
  public void close() {
    vertx.close();
  }

  private Future<HttpResponse> send(
      HttpClientRequest request, String body, Map<String, String> headers) {
    bearerToken.ifPresent(token -> request.putHeader("Authorization", "Bearer " + token));
    request.putHeader("Content-Type", "application/json");
    headers.forEach(request::putHeader);
    return request
        .send(Buffer.buffer(body))
        .compose(
            response ->
                response.body().map(bytes -> new HttpResponse(response.statusCode(), bytes)));
  }

  private static <T> T await(Future<T> future, Duration timeout) throws IOException {
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (ExecutionException e) {
      throw new IOException(String.valueOf(e.getCause()), e);
    } catch (TimeoutException e) {
      throw new IOException("no answer within " + timeout, e);
    }
  }
}
