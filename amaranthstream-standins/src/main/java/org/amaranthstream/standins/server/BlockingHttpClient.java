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

/**
 * HTTP client whose calls block until the response arrives.
 *
 * <p>Thread safe. Its methods must not be called on an event loop.
 */
public final class BlockingHttpClient implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 64;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client =
      vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
  private final Optional<String> bearerToken;

  /** Creates a client that sends {@code bearerToken}, if present, with each call. */
  public BlockingHttpClient(Optional<String> bearerToken) {
    this.bearerToken = bearerToken;
  }

  /**
   * Sends a request and waits for the complete response.
   *
   * @throws IOException if the call fails, or no complete response arrives within {@code timeout}
   */
  public HttpResponse call(HttpMethod method, String url, String body, Duration timeout)
      throws IOException {
    return call(method, url, body, timeout, Map.of());
  }

  /**
   * Sends a request with additional headers and waits for the complete response.
   *
   * @throws IOException if the call fails, or no complete response arrives within {@code timeout}
   */
  public HttpResponse call(
      HttpMethod method, String url, String body, Duration timeout, Map<String, String> headers)
      throws IOException {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setAbsoluteURI(url)
            .setIdleTimeout(timeout.toMillis());
    Future<HttpResponse> response =
        client.request(options).compose(request -> send(request, body, headers));
    return await(response, timeout);
  }

  /** Blocks for {@code delay}, at least 1 ms. */
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
      throw new IOException("no complete response within " + timeout, e);
    }
  }
}
