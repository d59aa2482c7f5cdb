package org.amaranthstream.idempotency;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;

/**
 * The writer of claim pages, which keeps a queue of updates for each page in use. Must be used on
 * the decision thread.
 */
final class ClaimPageWriter {
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(10);
  private static final int MAX_PAGES = 1_024;
  private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(1);

  private final KeyValueStore store;
  private final TimerService timers;
  private final ReplyAwaiter replies;
  private final ClaimLimits limits;
  private final ClaimCounters counters;
  private final Map<ClaimPageId, PageQueue> queues = new HashMap<>();

  ClaimPageWriter(
      KeyValueStore store,
      Duty duty,
      TimerService timers,
      ClaimLimits limits,
      ClaimCounters counters) {
    this.store = store;
    this.timers = timers;
    this.replies = new ReplyAwaiter(duty, timers, limits.replyTimeout());
    this.limits = limits;
    this.counters = counters;
    timers.every(SWEEP_PERIOD, this::removeUnused);
  }

  /**
   * Queues an update of {@code page}. Calls the consumer exactly once, possibly before this method
   * returns.
   */
  void write(ClaimPageId page, PageUpdate update, Consumer<PageUpdateResult> consumer) {
    PageQueue queue = queues.get(page);
    if (queue == null) {
      if (queues.size() >= MAX_PAGES) {
        consumer.accept(
            new PageUpdateResult.Unavailable("too many claim pages are in use", FULL_RETRY_AFTER));
        return;
      }
      queue = new PageQueue(page, store, timers, replies, limits, counters);
      queues.put(page, queue);
    }
    queue.add(update, consumer);
  }

  private void removeUnused() {
    queues.values().removeIf(queue -> queue.isUnusedFor(limits.pageInterval()));
  }
}
