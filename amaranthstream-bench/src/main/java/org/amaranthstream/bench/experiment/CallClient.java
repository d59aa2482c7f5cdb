package org.amaranthstream.bench.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.standins.server.HttpResponse;

/**
 * Client that sends the calls of one class to randomly chosen daemons and counts the responses.
 * Confined to one event loop.
 */
final class CallClient {
  private static final int POOL_SIZE = 1024;

  /** Idle timeout of a call as a multiple of its deadline. */
  private static final int IDLE_TIMEOUT_FACTOR = 2;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client;
  private final List<String> daemons;
  private final String token;
  private final CallSpec spec;
  private final Random random;
  private final CallStats stats = new CallStats();
  private long nextCall;
  private long inFlight;

  CallClient(Vertx vertx, List<String> daemons, String token, CallSpec spec, long seed) {
    this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(POOL_SIZE));
    this.daemons = List.copyOf(daemons);
    this.token = token;
    this.spec = spec;
    this.random = new Random(seed);
  }

  CallStats stats() {
    return stats;
  }

  /** Returns the number of calls that wait for a response. */
  long inFlight() {
    return inFlight;
  }

  /**
   * Sends the next call. The returned future always succeeds, even if the call fails.
   *
   * @param dueNanos time at which the call was due; latency counts from here
   * @param counted true if the call counts in the statistics; false during the warm-up
   */
  Future<Void> call(long dueNanos, boolean counted) {
    long call = nextCall++;
    if (counted) {
      stats.onOffered();
    }
    inFlight++;
    String daemon = daemons.get(random.nextInt(daemons.size()));
    long idleTimeoutMs = (long) spec.deadlineMs() * IDLE_TIMEOUT_FACTOR;
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI(daemon + spec.path())
            .setIdleTimeout(idleTimeoutMs);
    return client
        .request(options)
        .compose(request -> send(request, call))
        .transform(
            response -> {
              inFlight--;
              if (counted) {
                recordResult(call, dueNanos, response);
              }
              return Future.succeededFuture();
            });
  }

  private Future<HttpResponse> send(HttpClientRequest request, long call) {
    request.putHeader("Authorization", "Bearer " + token);
    request.putHeader("Content-Type", "application/json");
    spec.key().create(call).ifPresent(key -> request.putHeader("Idempotency-Key", key));
    return request.send(Buffer.buffer(spec.body().create(call))).compose(CallClient::readBody);
  }

  private static Future<HttpResponse> readBody(HttpClientResponse response) {
    return response.body().map(body -> new HttpResponse(response.statusCode(), body));
  }

  private void recordResult(long call, long dueNanos, AsyncResult<HttpResponse> response) {
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
    if (response.failed()) {
      stats.onError(call, 0, "CONNECTION_FAILED", micros);
    } else if (response.result().isSuccess()) {
      recordResponse(call, micros, response.result().body().toString());
    } else {
      recordError(call, micros, response.result());
    }
  }

  private void recordResponse(long call, long micros, String body) {
    long tokens = spec.validator().countTokens(call, body);
    if (tokens < 0) {
      stats.onWrongResponse();
    } else {
      boolean inTime = micros <= TimeUnit.MILLISECONDS.toMicros(spec.deadlineMs());
      stats.onResponse(micros, inTime, tokens);
    }
  }

  private void recordError(long call, long micros, HttpResponse response) {
    try {
      JsonNode body = MAPPER.readTree(response.body().getBytes());
      String name = body.path("name").asText("HTTP_" + response.status());
      stats.onError(call, body.path("code").asInt(0), name, micros);
    } catch (IOException e) {
      stats.onError(call, 0, "HTTP_" + response.status(), micros);
    }
  }
}
