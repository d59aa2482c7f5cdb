package org.amaranthstream.once;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.WriteReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Deletes claim pages whose keys are refused for their age everywhere.
 *
 * <p>A page is kept for a second window after its keys have expired, so the clocks of two entry VMs
 * may differ by a whole window before a deleted claim could be made again. Futures of the store are
 * not awaited on the decision thread; several entry VMs may delete the same page.
 */
public final class ClaimPageCleaner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final KeyValueStore store;
  private final InstantSource clock;
  private final ClaimLimits limits;
  private final Predicate<ClaimPageId> shouldDelete;
  private final ClaimCounters counters;
  private long nextInterval;

  private ClaimPageCleaner(
      KeyValueStore store,
      InstantSource clock,
      ClaimLimits limits,
      Predicate<ClaimPageId> shouldDelete,
      ClaimCounters counters) {
    this.store = store;
    this.clock = clock;
    this.limits = limits;
    this.shouldDelete = shouldDelete;
    this.counters = counters;
    this.nextInterval =
        Math.max(0, lastExpiredInterval() - limits.window().dividedBy(limits.pageInterval()));
  }

  /**
   * Returns a trimmer of the pages that {@code shouldDelete} accepts. It begins one window before
   * the pages that expire now, so that a restart leaves none behind.
   */
  public static ClaimPageCleaner create(
      KeyValueStore store,
      InstantSource clock,
      ClaimLimits limits,
      Predicate<ClaimPageId> shouldDelete,
      ClaimCounters counters) {
    return new ClaimPageCleaner(store, clock, limits, shouldDelete, counters);
  }

  /** Deletes the expired pages of one interval with each tick, at half of a page interval. */
  public Subscription start(TimerService timers) {
    Duration period = limits.pageInterval().dividedBy(2);
    return timers.every(period, this::deleteNextInterval);
  }

  void deleteNextInterval() {
    if (nextInterval > lastExpiredInterval()) {
      return;
    }
    for (int shard = 0; shard < limits.shards(); shard++) {
      ClaimPageId page = new ClaimPageId(nextInterval, shard);
      if (shouldDelete.test(page)) {
        store.get(page.key()).thenAccept(this::delete);
      }
    }
    nextInterval++;
  }

  private long lastExpiredInterval() {
    return ClaimPageId.intervalOf(
        clock.instant().minus(limits.pageRetention()), limits.pageInterval());
  }

  private void delete(Result<Optional<KvEntry>> result) {
    if (result instanceof Result.Success<Optional<KvEntry>> success
        && success.value().isPresent()) {
      KvEntry entry = success.value().get();
      store
          .compareAndDelete(entry.key(), entry.revision())
          .thenAccept(reply -> onDeleteReply(entry, reply));
    }
  }

  private void onDeleteReply(KvEntry entry, WriteReply reply) {
    if (reply instanceof WriteReply.Written) {
      counters.increment(ClaimEvent.PAGE_DELETED);
      logger.atFine().log("event=claim_page_deleted page=%s", entry.key());
    }
  }
}
