package org.amaranthstream.bench.experiment;

import io.vertx.core.Vertx;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Open-loop load generator: Poisson arrivals at a fixed rate that do not wait for responses.
 * Confined to an event loop.
 *
 * <p>Each arrival is passed the time at which it was due, so that latencies include the delay of a
 * generator that runs late.
 */
final class OpenLoopGenerator {
  private static final int TICK_MS = 1;

  private final Vertx vertx;
  private final double ratePerSecond;
  private final Random random;
  private final LongConsumer onArrival;
  private long nextArrivalNanos;
  private long endNanos;
  private Runnable onEnd = () -> {};

  OpenLoopGenerator(Vertx vertx, double ratePerSecond, long seed, LongConsumer onArrival) {
    this.vertx = vertx;
    this.ratePerSecond = ratePerSecond;
    this.random = new Random(seed);
    this.onArrival = onArrival;
  }

  /**
   * Starts the arrivals.
   *
   * @param durationMs time after which the arrivals end, in ms
   * @param onLoadEnd called once after the last arrival
   */
  void start(long durationMs, Runnable onLoadEnd) {
    long now = System.nanoTime();
    nextArrivalNanos = now + nextIntervalNanos();
    endNanos = now + TimeUnit.MILLISECONDS.toNanos(durationMs);
    onEnd = onLoadEnd;
    vertx.setPeriodic(TICK_MS, this::tick);
  }

  private void tick(long timer) {
    long now = System.nanoTime();
    while (nextArrivalNanos - now <= 0 && nextArrivalNanos - endNanos < 0) {
      onArrival.accept(nextArrivalNanos);
      nextArrivalNanos += nextIntervalNanos();
    }
    if (now - endNanos >= 0) {
      vertx.cancelTimer(timer);
      onEnd.run();
    }
  }

  private long nextIntervalNanos() {
    double uniform = 1 - random.nextDouble();
    return Math.round(-Math.log(uniform) / ratePerSecond * TimeUnit.SECONDS.toNanos(1));
  }
}
