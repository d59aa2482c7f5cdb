package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthstream.auth.Secret;

/**
 * Calls to the platform's HTTP services. A connection is obtained before a request is written, so
 * that a failure to connect is known to have sent nothing. Thread safe.
 */
public final class PlatformHttp implements AutoCloseable {
  private static final int CONNECTIONS = 16;
  private static final int KEEP_ALIVE_SECONDS = 20;
  private static final int DEFAULT_PORT = 80;

  private final Vertx vertx;
  private final HttpClient client;
  private final URI url;
  private final Optional<Secret> token;
  private final Duration timeout;

  private PlatformHttp(Vertx vertx, URI url, Optional<Secret> token, Duration timeout) {
    this.vertx = checkNotNull(vertx, "vertx");
    this.url = checkNotNull(url, "url");
    this.token = checkNotNull(token, "token");
    this.timeout = checkNotNull(timeout, "timeout");
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout((int) timeout.toMillis())
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
            new PoolOptions().setHttp1MaxSize(CONNECTIONS));
  }

  /**
   * Returns calls to the services at {@code url}.
   *
   * @param timeout time after which a call counts as lost
   */
  public static PlatformHttp create(
      Vertx vertx, URI url, Optional<Secret> token, Duration timeout) {
    return new PlatformHttp(vertx, url, token, timeout);
  }

  /** Makes a call that is answered within the timeout. */
  CompletableFuture<PlatformReply> call(HttpMethod method, String path, Buffer body) {
    return call(method, path, body, Duration.ZERO);
  }

  /** Makes a call that the service may let wait for {@code wait} before it answers. */
  CompletableFuture<PlatformReply> call(
      HttpMethod method, String path, Buffer body, Duration wait) {
    CompletableFuture<PlatformReply> reply = new CompletableFuture<>();
    AtomicBoolean sent = new AtomicBoolean();
    long timer =
        vertx.setTimer(
            timeout.plus(wait).toMillis(),
            unused -> reply.complete(lost(sent.get(), "no answer within " + timeout.plus(wait))));
    client
        .request(options(method, path))
        .compose(request -> send(request, body, sent, reply))
        .compose(PlatformHttp::read)
        .onSuccess(reply::complete)
        .onFailure(cause -> reply.complete(lost(sent.get(), String.valueOf(cause.getMessage()))));
    return reply.whenComplete((unused, none) -> vertx.cancelTimer(timer));
  }

  private RequestOptions options(HttpMethod method, String path) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(url.getHost())
            .setPort(url.getPort() < 0 ? DEFAULT_PORT : url.getPort())
            .setURI(url.getPath() + path);
    token.ifPresent(
        secret ->
            options.putHeader(
                "Authorization", "Bearer " + new String(secret.bytes(), StandardCharsets.UTF_8)));
    return options;
  }

  private static Future<HttpClientResponse> send(
      HttpClientRequest request,
      Buffer body,
      AtomicBoolean sent,
      CompletableFuture<PlatformReply> reply) {
    if (reply.isDone()) {
      request.reset();
      return Future.failedFuture("given up before it was sent");
    }
    sent.set(true);
    reply.whenComplete((value, none) -> resetUnlessAnswered(request, value));
    return request.send(body);
  }

  /** Frees the connection of a call that was given up. */
  private static void resetUnlessAnswered(HttpClientRequest request, PlatformReply value) {
    if (!(value instanceof PlatformReply.Answered)) {
      request.reset();
    }
  }

  private static Future<PlatformReply> read(HttpClientResponse response) {
    return response
        .body()
        .map(
            body ->
                new PlatformReply.Answered(
                    response.statusCode(),
                    body,
                    Optional.ofNullable(response.getHeader("Revision")),
                    Optional.ofNullable(response.getHeader("Retry-After"))));
  }

  private static PlatformReply lost(boolean sent, String reason) {
    return sent ? new PlatformReply.Lost(reason) : new PlatformReply.NotSent(reason);
  }

  @Override
  public void close() {
    client.shutdown(0, TimeUnit.SECONDS);
  }
}
