package org.amaranthstream.prompts;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.routing.EngineCapacity;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * The weighing, for each request, of the time that an engine saves because it still holds the
 * beginning of the prompt.
 *
 * <p>The time to read the rest of the prompt is added to the other costs of an engine, such as its
 * load and its distance, so an engine that holds the prompt is chosen exactly while the saving is
 * greater than the additional wait there. The time a token takes is learned from the delays of
 * first events. Only engines whose capacity the operators' configuration states are considered.
 *
 * <p>Must be used on the thread of its timers.
 */
public final class PromptPlacement implements PromptCosts {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time to read a token while it is unknown. It is far below what engines need, and so decides
   * only between servers that are otherwise equal.
   */
  private static final double DEFAULT_NANOS_PER_TOKEN = 10;

  private static final Duration DEFAULT_RUN_TIME = Duration.ofSeconds(1);

  private final Function<ServiceId, Optional<EngineCapacity>> capacities;
  private final TimerService timers;
  private final Map<TrackedServer, PromptCache> caches = new HashMap<>();
  private final Map<ServiceId, PrefillRate> rates = new HashMap<>();
  private final Map<ServiceId, RecentSamples> runNanos = new HashMap<>();

  private PromptPlacement(
      Function<ServiceId, Optional<EngineCapacity>> capacities, TimerService timers) {
    this.capacities = capacities;
    this.timers = timers;
  }

  /**
   * Returns a placement that has seen no request yet.
   *
   * @param capacities the capacity of the engines of a service, empty for a plain service
   */
  public static PromptPlacement create(
      Function<ServiceId, Optional<EngineCapacity>> capacities, TimerService timers) {
    return new PromptPlacement(
        checkNotNull(capacities, "capacities"), checkNotNull(timers, "timers"));
  }

  @Override
  public Duration readTime(TrackedServer server, Prompt prompt) {
    Optional<PromptCache> cache = cacheOf(server, prompt.model());
    if (cache.isEmpty()) {
      return Duration.ZERO;
    }
    long rest = prompt.tokens() - cache.get().heldTokens(prompt);
    double nanosPerToken = rateOf(server).nanosPerToken().orElse(DEFAULT_NANOS_PER_TOKEN);
    return Duration.ofNanos((long) (rest * nanosPerToken));
  }

  @Override
  public double readTimeAsLoad(TrackedServer server, Prompt prompt) {
    RecentSamples runs = runNanos.get(server.registration().service());
    double runTime = runs == null ? DEFAULT_RUN_TIME.toNanos() : Math.max(1, runs.median());
    return readTime(server, prompt).toNanos() / runTime;
  }

  @Override
  public PromptRun begin(TrackedServer server, Prompt prompt) {
    Optional<PromptCache> cache = cacheOf(server, prompt.model());
    if (cache.isEmpty()) {
      return PromptRun.UNTRACKED;
    }
    long held = cache.get().heldTokens(prompt);
    logger.atFine().log(
        "event=prompt_placed server=%s tokens=%d held=%d", server.id(), prompt.tokens(), held);
    return new TrackedRun(server, cache.get(), prompt, held);
  }

  private Optional<PromptCache> cacheOf(TrackedServer server, ModelId model) {
    PromptCache cache = caches.get(server);
    if (cache == null) {
      Optional<EngineCapacity> capacity = capacities.apply(server.registration().service());
      if (capacity.isEmpty()) {
        return Optional.empty();
      }
      caches.keySet().removeIf(TrackedServer::isRemoved);
      cache = new PromptCache(capacity.get().memoryTokens());
      caches.put(server, cache);
    }
    cache.onVersion(model, server.version(model));
    return Optional.of(cache);
  }

  private PrefillRate rateOf(TrackedServer server) {
    return rates.computeIfAbsent(server.registration().service(), unused -> new PrefillRate());
  }

  /** A request that the view of its engine's memory includes. */
  private final class TrackedRun implements PromptRun {
    private final TrackedServer server;
    private final PromptCache cache;
    private final PromptCache.Run run;
    private final long promptTokens;
    private final long heldTokens;
    private final long startNanos = timers.nowNanos();
    private boolean hasFirstEvent;

    private TrackedRun(TrackedServer server, PromptCache cache, Prompt prompt, long heldTokens) {
      this.server = server;
      this.cache = cache;
      this.run = cache.onStarted(prompt);
      this.promptTokens = prompt.tokens();
      this.heldTokens = heldTokens;
    }

    @Override
    public void onEvent() {
      if (!hasFirstEvent) {
        hasFirstEvent = true;
        rateOf(server).add(promptTokens, heldTokens, elapsed());
      }
    }

    @Override
    public void onEnded(boolean hasRun) {
      cache.onEnded(run, hasRun);
      if (hasFirstEvent) {
        runNanos
            .computeIfAbsent(server.registration().service(), unused -> new RecentSamples())
            .add(elapsed().toNanos());
      }
    }

    private Duration elapsed() {
      return Duration.ofNanos(timers.nowNanos() - startNanos);
    }
  }
}
