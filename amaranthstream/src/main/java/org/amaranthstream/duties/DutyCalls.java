package org.amaranthstream.duties;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.amaranthstream.servers.RequestPacer;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.usage.WindowCounts;
import org.amaranthstream.weights.FencingTokenSource;

/**
 * The calls of this daemon to the platform's API, within the platform's rate. Must be used on the
 * thread of its timers.
 */
public final class DutyCalls {
  private static final Duration PATIENCE = Duration.ofSeconds(2);
  private static final double NANOS_PER_SECOND = 1e9;

  private final PlatformApi api;
  private final FencingTokenSource fences;
  private final ApiReach reach;
  private final TimerService timers;
  private final Duration interval;
  private final RequestPacer pacer;

  private DutyCalls(
      PlatformApi api,
      FencingTokenSource fences,
      ApiReach reach,
      TimerService timers,
      Duration interval) {
    this.api = api;
    this.fences = fences;
    this.reach = reach;
    this.timers = timers;
    this.interval = interval;
    this.pacer = RequestPacer.startingAt(timers.nowNanos(), 0);
  }

  /**
   * Returns the calls of this daemon.
   *
   * @param callsPerSecond the calls a second that the platform takes from all daemons together
   */
  public static DutyCalls create(
      PlatformApi api,
      FencingTokenSource fences,
      ApiReach reach,
      TimerService timers,
      double callsPerSecond) {
    checkArgument(callsPerSecond > 0, "callsPerSecond must be positive: %s", callsPerSecond);
    return new DutyCalls(
        checkNotNull(api, "api"),
        checkNotNull(fences, "fences"),
        checkNotNull(reach, "reach"),
        checkNotNull(timers, "timers"),
        Duration.ofNanos((long) (NANOS_PER_SECOND / callsPerSecond)));
  }

  /** Reports the use of one window. */
  public CompletableFuture<ApiReply> reportUsage(WindowCounts counts) {
    return call(() -> api.reportUsage(counts, fences));
  }

  private CompletableFuture<ApiReply> call(Supplier<CompletableFuture<ApiReply>> call) {
    Optional<Duration> wait = pacer.reserve(interval, PATIENCE, timers.nowNanos());
    if (wait.isEmpty()) {
      return CompletableFuture.completedFuture(ApiReply.LATER);
    }
    CompletableFuture<ApiReply> reply = new CompletableFuture<>();
    if (wait.get().isZero()) {
      send(call, reply);
    } else {
      timers.after(wait.get(), () -> send(call, reply));
    }
    return reply;
  }

  private void send(Supplier<CompletableFuture<ApiReply>> call, CompletableFuture<ApiReply> reply) {
    call.get()
        .thenAccept(
            outcome -> {
              reach.onReply(outcome);
              reply.complete(outcome);
            });
  }
}
