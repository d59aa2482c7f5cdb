package org.amaranthstream.cli;

import com.google.common.collect.ImmutableSet;
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
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.HttpClientKind;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Blocking client of the administration API of a daemon. Runs one call at a time. Not thread safe.
 *
 * <p>Each call has a connection of its own, because a response does not name its call: on a reused
 * connection a late response to one call would be taken for the response to the next.
 */
final class AdminClient implements AutoCloseable {
  private static final int TIMEOUT_MS = 15_000;
  private static final int CONNECT_TIMEOUT_MS = 3_000;
  private static final String ENTITY_TAG = "ETag";

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client =
      FramedHttpClients.on(vertx)
          .create(
              HttpClientKind.ADMINISTRATION,
              new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setKeepAlive(false),
              new PoolOptions(),
              ImmutableSet.of(ENTITY_TAG));
  private final String url;
  private final String token;

  AdminClient(String url, String token) {
    this.url = url;
    this.token = token;
  }

  /** Sends a GET request. */
  Result<AdminResponse> get(String path) {
    return call(HttpMethod.GET, path, Optional.empty(), Buffer.buffer());
  }

  /**
   * Sends a PUT request that replaces generation {@code expected}. The result is {@link
   * ResultCode#CONFIG_OUTCOME_UNKNOWN} if the request may have been sent but no response arrived.
   */
  Result<AdminResponse> put(String path, ConfigGeneration expected, String body) {
    return call(HttpMethod.PUT, path, Optional.of(expected), Buffer.buffer(body));
  }

  private Result<AdminResponse> call(
      HttpMethod method, String path, Optional<ConfigGeneration> expected, Buffer body) {
    try {
      RequestOptions options =
          new RequestOptions().setMethod(method).setAbsoluteURI(url + path).setTimeout(TIMEOUT_MS);
      options.putHeader("Authorization", "Bearer " + token);
      expected.ifPresent(generation -> options.putHeader("If-Match", generation.toString()));
      HttpClientRequest request = join(client.request(options));
      return send(request, method, body);
    } catch (CompletionException | IllegalArgumentException e) {
      return Result.failure(ResultCode.PEER_UNREACHABLE, "no connection to " + url + ": " + e);
    }
  }

  private Result<AdminResponse> send(HttpClientRequest request, HttpMethod method, Buffer body) {
    try {
      return join(request.send(body).compose(AdminClient::readResponse));
    } catch (CompletionException e) {
      ResultCode code =
          method.equals(HttpMethod.PUT)
              ? ResultCode.CONFIG_OUTCOME_UNKNOWN
              : ResultCode.PEER_UNREACHABLE;
      return Result.failure(ErrorDetail.of(code, "no response from " + url + ": " + e.getCause()));
    }
  }

  /** Reads the body on the event loop, so that no part of it arrives before a handler is set. */
  private static Future<Result<AdminResponse>> readResponse(HttpClientResponse response) {
    String entityTag = response.getHeader(ENTITY_TAG);
    return response
        .body()
        .map(body -> AdminResponse.of(response.statusCode(), entityTag, body.toString()));
  }

  private static <T> T join(Future<T> future) {
    return future
        .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .toCompletionStage()
        .toCompletableFuture()
        .join();
  }

  @Override
  public void close() {
    join(vertx.close());
  }
}
