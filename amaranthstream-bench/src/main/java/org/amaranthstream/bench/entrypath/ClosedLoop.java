package org.amaranthstream.bench.entrypath;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * Closed-loop load generator: a fixed number of callers on one event loop, each of which sends its
 * next call when the previous one has ended.
 *
 * <p>Thread safe. Only one measurement may run at a time.
 */
final class ClosedLoop {
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Vertx vertx;
  private final int callers;
  private final Supplier<Future<Boolean>> call;

  /**
   * Creates a load generator.
   *
   * @param call makes a call; its result is true if the response was complete
   */
  ClosedLoop(Vertx vertx, int callers, Supplier<Future<Boolean>> call) {
    this.vertx = vertx;
    this.callers = callers;
    this.call = call;
  }

  /** Starts calls for {@code duration} and returns the measured latencies. */
  Sample run(Duration duration) {
    CompletableFuture<Sample> result = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> {
          Measurement measurement = new Measurement(System.nanoTime() + duration.toNanos(), result);
          for (int i = 0; i < callers; i++) {
            measurement.startCall();
          }
        });
    return result.orTimeout(duration.toSeconds() + 30, TimeUnit.SECONDS).join();
  }

  /**
   * The result of a measurement.
   *
   * @param latencyMicros latencies of complete responses, in microseconds
   * @param failed number of calls without a complete response
   * @param seconds length of the measurement, in seconds
   */
  record Sample(Histogram latencyMicros, long failed, double seconds) {
    double perSecond() {
      return latencyMicros.getTotalCount() / seconds;
    }

    double percentileMillis(double percentile) {
      return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
    }
  }

  private final class Measurement {
    private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final long startNanos = System.nanoTime();
    private final long endNanos;
    private final CompletableFuture<Sample> result;
    private long failed;
    private int endedCallers;

    Measurement(long endNanos, CompletableFuture<Sample> result) {
      this.endNanos = endNanos;
      this.result = result;
    }

    void startCall() {
      long now = System.nanoTime();
      if (now - endNanos < 0) {
        call.get()
            .onComplete(complete -> onResponse(now, complete.succeeded() && complete.result()));
        return;
      }
      endedCallers++;
      if (endedCallers == callers) {
        result.complete(new Sample(latencyMicros, failed, (now - startNanos) / 1e9));
      }
    }

    private void onResponse(long sentNanos, boolean complete) {
      if (complete) {
        latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos));
      } else {
        failed++;
      }
      startCall();
    }
  }
}
