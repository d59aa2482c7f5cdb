package org.amaranthstream.bench.decisions;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.time.VirtualTimerService;

/**
 * Simulated model engine in virtual time, with slots, a priority queue, a prefix cache and faults.
 * Not thread safe.
 */
final class SimulatedServer {
  private static final double NANOS_PER_MILLI = 1e6;

  final BackendServer server;
  private final VirtualTimerService timers;
  private final SimulatedPoolSettings settings;
  private final Random random;
  private final Set<SimulatedAttempt> running = new LinkedHashSet<>();
  private final List<SimulatedAttempt> queue = new ArrayList<>();
  private final Map<String, Boolean> cache;

  /** Share of requests that fail before their first chunk. */
  double failureRate;

  /** True if the server keeps its connections open and makes no progress. */
  boolean frozen;

  /** Factor by which all times are multiplied. */
  double slowdown = 1;

  long tokensGenerated;
  int crashes;
  int failures;
  int cacheHits;
  int starts;
  private boolean down;

  SimulatedServer(
      BackendServer server, VirtualTimerService timers, SimulatedPoolSettings settings, long seed) {
    this.server = server;
    this.timers = timers;
    this.settings = settings;
    this.random = new Random(seed);
    this.cache =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > settings.cachedPrefixes();
          }
        };
  }

  Incarnation incarnation() {
    return Incarnation.of(server.id() + "." + crashes);
  }

  LoadReport report() {
    return new LoadReport(
        incarnation(),
        Optional.of(WeightVersion.of(1)),
        running.size(),
        queue.size(),
        settings.reportedSlots(),
        false,
        timers.nowNanos());
  }

  void start(SimulatedAttempt attempt) {
    if (down) {
      schedule(1, () -> attempt.end(new AttemptEnd.NotSent("connection refused")));
      return;
    }
    attempt.listener.onSending();
    queue.add(attempt);
    queue.sort(Comparator.comparing(a -> a.work.priority()));
    startQueued();
  }

  void cancel(SimulatedAttempt attempt) {
    queue.remove(attempt);
    if (running.remove(attempt)) {
      startQueued();
    }
  }

  /**
   * Ends all attempts, clears the prefix cache and refuses connections until the restart.
   *
   * @param restartDelay time until the restart
   */
  void crash(Duration restartDelay) {
    if (down) {
      return;
    }
    down = true;
    crashes++;
    final ImmutableList<SimulatedAttempt> interrupted =
        ImmutableList.<SimulatedAttempt>builder().addAll(running).addAll(queue).build();
    running.clear();
    queue.clear();
    cache.clear();
    timers.after(restartDelay, () -> down = false);
    interrupted.forEach(attempt -> attempt.end(new AttemptEnd.Broken("connection reset")));
  }

  private void startQueued() {
    while (running.size() < settings.slots() && !queue.isEmpty()) {
      SimulatedAttempt attempt = queue.remove(0);
      running.add(attempt);
      startPrefill(attempt);
    }
  }

  private void startPrefill(SimulatedAttempt attempt) {
    starts++;
    boolean isHit = attempt.prefix().isPresent() && cache.put(attempt.prefix().get(), true) != null;
    cacheHits += isHit ? 1 : 0;
    double prefillMillis = isHit ? settings.hitPrefillMillis() : settings.missPrefillMillis();
    schedule(prefillMillis, () -> generateChunk(attempt));
  }

  private void generateChunk(SimulatedAttempt attempt) {
    if (frozen || !running.contains(attempt)) {
      return;
    }
    if (attempt.isPoison()) {
      crash(Duration.ofSeconds(5));
      return;
    }
    if (attempt.isFirstChunk() && random.nextDouble() < failureRate) {
      fail(attempt);
      return;
    }
    int tokens = attempt.nextChunkTokens();
    if (tokens == 0) {
      finish(attempt);
      return;
    }
    tokensGenerated += tokens;
    attempt.deliver(
        new Chunk(
            attempt.offset,
            tokens,
            "",
            Optional.of(WeightVersion.of(1)),
            Optional.of(incarnation())));
    schedule(tokens * settings.tokenMillis(), () -> generateChunk(attempt));
  }

  private void fail(SimulatedAttempt attempt) {
    failures++;
    running.remove(attempt);
    attempt.end(new AttemptEnd.Failed("500"));
    startQueued();
  }

  private void finish(SimulatedAttempt attempt) {
    running.remove(attempt);
    attempt.end(
        new AttemptEnd.Finished(
            new CompletedResponse(
                server.id(), HttpStatus.of(200), "text/plain", attempt.offset, "stop")));
    startQueued();
  }

  private void schedule(double millis, Runnable task) {
    timers.after(Duration.ofNanos((long) (millis * slowdown * NANOS_PER_MILLI)), task);
  }
}
