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
import org.amaranthstream.standins.server.HttpReply;

/** Sends the calls of one class to daemons at random and counts the answers. One event loop. */
final class CallClient {
  private static final int POOL_SIZE = 1024;
  private static final int PATIENCE_FACTOR = 2;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client;
  private final List<String> daemons;
  private final String token;
  private final CallSpec target;
  private final Random random;
  private final CallStats stats = new CallStats();
  private long calls;
  private long open;

  CallClient(Vertx vertx, List<String> daemons, String token, CallSpec target, long seed) {
    this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(POOL_SIZE));
    this.daemons = List.copyOf(daemons);
    this.token = token;
    this.target = target;
    this.random = new Random(seed);
  }

  CallStats stats() {
    return stats;
  }

  /** Returns the number of calls without an answer yet. */
  long open() {
    return open;
  }

  /** Makes the next call; a call before the measured time is not counted. */
  Future<Void> call(long dueNanos, boolean counted) {
    long call = calls++;
    if (counted) {
      stats.onOffered();
    }
    open++;
    String daemon = daemons.get(random.nextInt(daemons.size()));
    long patienceMs = (long) target.deadlineMs() * PATIENCE_FACTOR;
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI(daemon + target.path())
            .setIdleTimeout(patienceMs);
    return client
        .request(options)
        .compose(request -> send(request, call))
        .transform(
            reply -> {
              open--;
              if (counted) {
                count(call, dueNanos, reply);
              }
              return Future.succeededFuture();
            });
  }

  private Future<HttpReply> send(HttpClientRequest request, long call) {
    request.putHeader("Authorization", "Bearer " + token);
    request.putHeader("Content-Type", "application/json");
    target.key().of(call).ifPresent(key -> request.putHeader("Idempotency-Key", key));
    return request.send(Buffer.buffer(target.body().of(call))).compose(CallClient::whole);
  }

  private static Future<HttpReply> whole(HttpClientResponse response) {
    return response.body().map(body -> new HttpReply(response.statusCode(), body));
  }

  private void count(long call, long dueNanos, AsyncResult<HttpReply> reply) {
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
    if (reply.failed()) {
      stats.onError(call, 0, "CONNECTION_FAILED", micros);
    } else if (reply.result().isSuccess()) {
      countAnswer(call, micros, reply.result().body().toString());
    } else {
      countError(call, micros, reply.result());
    }
  }

  private void countAnswer(long call, long micros, String answer) {
    long tokens = target.judge().tokens(call, answer);
    if (tokens < 0) {
      stats.onWrongAnswer();
    } else {
      boolean inTime = micros <= TimeUnit.MILLISECONDS.toMicros(target.deadlineMs());
      stats.onAnswer(micros, inTime, tokens);
    }
  }

  private void countError(long call, long micros, HttpReply reply) {
    try {
      JsonNode body = MAPPER.readTree(reply.body().getBytes());
      String name = body.path("name").asText("HTTP_" + reply.status());
      stats.onError(call, body.path("code").asInt(0), name, micros);
    } catch (IOException e) {
      stats.onError(call, 0, "HTTP_" + reply.status(), micros);
    }
  }
}
