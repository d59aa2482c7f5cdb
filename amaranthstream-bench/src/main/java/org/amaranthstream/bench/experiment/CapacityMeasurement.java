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
import org.amaranthstream.standins.server.BlockingHttp;
import org.amaranthstream.standins.server.Json;

/** Measures how many lookups a second the engines answer, called directly with all slots busy. */
final class CapacityMeasurement {
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final Duration MEASURED = Duration.ofSeconds(4);

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client =
      vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(Workload.ENGINE_SLOTS));
  private final AtomicLong answers = new AtomicLong();
  private final AtomicLong calls = new AtomicLong();
  private volatile boolean over;

  private CapacityMeasurement() {}

  /** Returns lookups a second of all engines of a cluster. */
  static double measure(Cluster cluster) {
    CapacityMeasurement capacity = new CapacityMeasurement();
    for (BackendProcess engine : cluster.engines()) {
      for (int slot = 0; slot < Workload.ENGINE_SLOTS; slot++) {
        capacity.callNext(engine.url());
      }
    }
    return capacity.count();
  }

  private double count() {
    try (BlockingHttp pauses = new BlockingHttp(Optional.empty())) {
      pauses.pause(WARM_UP);
      final long before = answers.get();
      final long startNanos = System.nanoTime();
      pauses.pause(MEASURED);
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      return (answers.get() - before) / seconds;
    } finally {
      over = true;
      vertx.close();
    }
  }

  private void callNext(String engine) {
    if (!over) {
      call(engine).onComplete(done -> callNext(engine));
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
        .onSuccess(answer -> answers.incrementAndGet());
  }

  record DirectCall(String attempt, String prompt, int maxTokens, long seed) {}
}
