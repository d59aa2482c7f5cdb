package org.amaranthstream.bench.entrypath;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * A fixed number of callers, each with one call at a time, on one event loop.
 *
 * <p>Thread safe; one measurement at a time.
 */
final class ClosedLoop {
  private static final int DIGITS = 3;

  private final Vertx vertx;
  private final int callers;
  private final Supplier<Future<Boolean>> call;

  /**
   * Creates a loop.
   *
   * @param call makes a call; its result tells whether the answer was whole
   */
  ClosedLoop(Vertx vertx, int callers, Supplier<Future<Boolean>> call) {
    this.vertx = vertx;
    this.callers = callers;
    this.call = call;
  }

  /** Calls for a time and returns what was seen. */
  Sample run(Duration duration) {
    CompletableFuture<Sample> result = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> {
          Round round = new Round(System.nanoTime() + duration.toNanos(), result);
          for (int i = 0; i < callers; i++) {
            round.next();
          }
        });
    return result.orTimeout(duration.toSeconds() + 30, TimeUnit.SECONDS).join();
  }

  /**
   * What a measurement saw.
   *
   * @param micros latencies of whole answers, in microseconds
   * @param failed calls without a whole answer
   * @param seconds its length, in s
   */
  record Sample(Histogram micros, long failed, double seconds) {
    double perSecond() {
      return micros.getTotalCount() / seconds;
    }

    double millis(double percentile) {
      return micros.getValueAtPercentile(percentile) / 1000.0;
    }
  }

  private final class Round {
    private final Histogram micros = new Histogram(DIGITS);
    private final long startNanos = System.nanoTime();
    private final long endNanos;
    private final CompletableFuture<Sample> result;
    private long failed;
    private int ended;

    Round(long endNanos, CompletableFuture<Sample> result) {
      this.endNanos = endNanos;
      this.result = result;
    }

    void next() {
      long now = System.nanoTime();
      if (now - endNanos < 0) {
        call.get().onComplete(whole -> onAnswer(now, whole.succeeded() && whole.result()));
        return;
      }
      ended++;
      if (ended == callers) {
        result.complete(new Sample(micros, failed, (now - startNanos) / 1e9));
      }
    }

    private void onAnswer(long sentNanos, boolean whole) {
      if (whole) {
        micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos));
      } else {
        failed++;
      }
      next();
    }
  }
}
