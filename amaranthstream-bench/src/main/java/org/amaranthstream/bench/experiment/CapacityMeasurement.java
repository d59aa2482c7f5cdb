package org.amaranthstream.bench.experiment;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.Json;

/**
 * Measurement of the lookups per second that the engines complete when they are called directly and
 * all their slots are busy.
 */
final class CapacityMeasurement {
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final Duration MEASURED_TIME = Duration.ofSeconds(4);

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client =
      vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(Workload.ENGINE_SLOTS));
  private final AtomicLong responses = new AtomicLong();
  private final AtomicLong calls = new AtomicLong();
  private volatile boolean stopped;

  private CapacityMeasurement() {}

  /** Returns the lookups per second of all engines of a cluster. */
  static double measure(Cluster cluster) {
    CapacityMeasurement measurement = new CapacityMeasurement();
    for (BackendProcess engine : cluster.engines()) {
      for (int slot = 0; slot < Workload.ENGINE_SLOTS; slot++) {
        measurement.sendNext(engine.url());
      }
    }
    return measurement.measureRate();
  }

  private double measureRate() {
    try (BlockingHttpClient sleeper = new BlockingHttpClient(Optional.empty())) {
      sleeper.pause(WARM_UP);
      final long before = responses.get();
      final long startNanos = System.nanoTime();
      sleeper.pause(MEASURED_TIME);
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      return (responses.get() - before) / seconds;
    } finally {
      stopped = true;
      vertx.close();
    }
  }

  private void sendNext(String engine) {
    if (!stopped) {
      call(engine).onComplete(ignored -> sendNext(engine));
    }
  }

  private Future<Buffer> call(String engine) {
    long call = calls.incrementAndGet();
    DirectCall body =
        new DirectCall(
            "direct-" + call, "code the product " + call, Workload.LOOKUP_MAX_TOKENS, call);
    RequestOptions options =
        new RequestOptions().setMethod(HttpMethod.POST).setAbsoluteURI(engine + "/v1/generate");
    return client
        .request(options)
        .compose(request -> request.send(Json.text(body)))
        .compose(response -> response.body())
        .onSuccess(ignored -> responses.incrementAndGet());
  }

  record DirectCall(String attempt, String prompt, int maxTokens, long seed) {}
}
