package org.amaranthstream.bench.experiment;

import io.vertx.core.Vertx;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Poisson arrivals at a fixed rate that do not wait for answers. Confined to an event loop.
 *
 * <p>Each arrival is given the time at which it was due, so that a late generator does not hide the
 * latency that it caused.
 */
final class OpenLoopGenerator {
  private static final int TICK_MS = 1;

  private final Vertx vertx;
  private final double perSecond;
  private final Random random;
  private final LongConsumer onArrival;
  private long nextNanos;
  private long endNanos;
  private Runnable onEnd = () -> {};

  OpenLoopGenerator(Vertx vertx, double perSecond, long seed, LongConsumer onArrival) {
    this.vertx = vertx;
    this.perSecond = perSecond;
    this.random = new Random(seed);
    this.onArrival = onArrival;
  }

  /** Starts arrivals for a time. */
  void start(long durationMs, Runnable whenOver) {
    long now = System.nanoTime();
    nextNanos = now + gapNanos();
    endNanos = now + TimeUnit.MILLISECONDS.toNanos(durationMs);
    onEnd = whenOver;
    vertx.setPeriodic(TICK_MS, this::tick);
  }

  private void tick(long timer) {
    long now = System.nanoTime();
    while (nextNanos - now <= 0 && nextNanos - endNanos < 0) {
      onArrival.accept(nextNanos);
      nextNanos += gapNanos();
    }
    if (now - endNanos >= 0) {
      vertx.cancelTimer(timer);
      onEnd.run();
    }
  }

  private long gapNanos() {
    double uniform = 1 - random.nextDouble();
    return Math.round(-Math.log(uniform) / perSecond * TimeUnit.SECONDS.toNanos(1));
  }
}
