package org.amaranthstream.idempotency;

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
 * A periodic task that deletes claim pages whose keys have expired on every entry VM.
 *
 * <p>A page is retained for a second window after its keys have expired. The clocks of two entry
 * VMs would have to differ by more than a window before a key with a deleted claim could be claimed
 * again. Replies of the store are handled on the store's threads. Several entry VMs may delete the
 * same page.
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
   * Returns a cleaner of the pages that {@code shouldDelete} accepts. It starts one window before
   * the pages that expire now, to delete the pages that expired while the daemon was not running.
   */
  public static ClaimPageCleaner create(
      KeyValueStore store,
      InstantSource clock,
      ClaimLimits limits,
      Predicate<ClaimPageId> shouldDelete,
      ClaimCounters counters) {
    return new ClaimPageCleaner(store, clock, limits, shouldDelete, counters);
  }

  /** Starts to delete the expired pages of one interval every half page interval. */
  public Subscription start(TimerService timers) {
    Duration period = limits.pageInterval().dividedBy(2);
    return timers.every(period, this::deleteNextInterval);
  }

  /** Deletes the pages of the next interval if it has expired. */
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
