package org.amaranthstream.idempotency;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.WriteReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * A queue of the updates of one claim page. It writes them in batches, one write at a time.
 *
 * <p>If the reply to a write is lost, the queue sends the same compare-and-swap again. Once the
 * revision of the page has changed, the first write has either taken effect or never will, and a
 * read at that revision or a later one shows which. Must be used on the decision thread.
 */
final class PageQueue {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);
  private static final Duration UNAVAILABLE_RETRY_AFTER = Duration.ofSeconds(1);

  private final ClaimPageId id;
  private final KeyValueStore store;
  private final TimerService timers;
  private final ReplyAwaiter replies;
  private final ClaimLimits limits;
  private final ClaimCounters counters;
  private final Deque<PendingUpdate> updates = new ArrayDeque<>();
  private Optional<PageState> cached = Optional.empty();

  /** A read with an older revision than this is stale. */
  private Revision minRevision = Revision.of(0);

  private Optional<Long> lastWriteNanos = Optional.empty();
  private long lastUsedNanos;
  private boolean busy;

  PageQueue(
      ClaimPageId id,
      KeyValueStore store,
      TimerService timers,
      ReplyAwaiter replies,
      ClaimLimits limits,
      ClaimCounters counters) {
    this.id = id;
    this.store = store;
    this.timers = timers;
    this.replies = replies;
    this.limits = limits;
    this.counters = counters;
  }

  /** Queues an update. Calls the consumer exactly once, possibly before this method returns. */
  void add(PageUpdate update, Consumer<PageUpdateResult> consumer) {
    lastUsedNanos = timers.nowNanos();
    if (updates.size() >= limits.maxQueuedUpdates()) {
      consumer.accept(unavailable("too many updates wait for claim page " + id.key()));
      return;
    }
    long deadline = timers.nowNanos() + limits.updateTimeout().toNanos();
    updates.add(new PendingUpdate(update, deadline, consumer));
    next();
  }

  /** Returns true if the queue is empty and no update was added for {@code time}. */
  boolean isUnusedFor(Duration time) {
    return !busy && updates.isEmpty() && timers.nowNanos() - lastUsedNanos >= time.toNanos();
  }

  private void next() {
    if (busy) {
      return;
    }
    dropExpired();
    if (updates.isEmpty()) {
      return;
    }
    busy = true;
    Duration delay = timeUntilNextWrite();
    if (delay.isZero()) {
      readOrWrite();
    } else {
      timers.after(delay, this::readOrWrite);
    }
  }

  private void dropExpired() {
    while (!updates.isEmpty() && updates.peek().deadlineNanos() - timers.nowNanos() <= 0) {
      updates
          .remove()
          .consumer()
          .accept(unavailable("claim page " + id.key() + " was not written in time"));
    }
  }

  private Duration timeUntilNextWrite() {
    if (lastWriteNanos.isEmpty()) {
      return Duration.ZERO;
    }
    long due = lastWriteNanos.get() + limits.minWriteInterval().toNanos();
    return Duration.ofNanos(Math.max(0, due - timers.nowNanos()));
  }

  private void readOrWrite() {
    if (cached.isEmpty()) {
      read();
    } else {
      write(cached.get(), false);
    }
  }

  private void retrySoon() {
    busy = false;
    dropExpired();
    if (!updates.isEmpty()) {
      busy = true;
      timers.after(RETRY_DELAY, this::readOrWrite);
    }
  }

  private void read() {
    counters.increment(ClaimEvent.PAGE_READ);
    Result<Optional<KvEntry>> lost =
        Result.failure(ResultCode.PLATFORM_UNAVAILABLE, "no reply to a read");
    replies.await(store.get(id.key()), () -> lost, this::onRead);
  }

  private void onRead(Result<Optional<KvEntry>> result) {
    if (!(result instanceof Result.Success<Optional<KvEntry>> success)) {
      String reason = ((Result.Failure<Optional<KvEntry>>) result).error().message();
      failAll(reason, Optional.empty());
      return;
    }
    Revision revision = success.value().map(KvEntry::revision).orElse(Revision.of(0));
    if (minRevision.isAfter(revision)) {
      counters.increment(ClaimEvent.STALE_READ);
      retrySoon();
      return;
    }
    try {
      ClaimPage page =
          success.value().map(e -> ClaimPage.ofBytes(e.value())).orElse(ClaimPage.empty());
      cached = Optional.of(new PageState(revision, page));
    } catch (IllegalArgumentException e) {
      logger.atSevere().withCause(e).log("event=claim_page_unreadable page=%s", id.key());
      failAll("claim page " + id.key() + " is not readable", Optional.empty());
      return;
    }
    write(cached.get(), true);
  }

  private void write(PageState state, boolean isFresh) {
    ClaimBatch batch = ClaimBatch.of(state.page(), updates, limits.maxPageBytes());
    if (batch.hasHeldKey() && !isFresh) {
      cached = Optional.empty();
      read();
      return;
    }
    if (!batch.isChanged()) {
      complete(batch);
      return;
    }
    counters.increment(ClaimEvent.PAGE_WRITTEN);
    lastWriteNanos = Optional.of(timers.nowNanos());
    send(state, batch, batch.page().toBytes());
  }

  private void send(PageState state, ClaimBatch batch, byte[] bytes) {
    replies.await(
        store.compareAndSwap(id.key(), state.revision(), bytes, Optional.empty()),
        () -> new WriteReply.Unknown("no reply to a write"),
        reply -> onReply(state, batch, bytes, reply));
  }

  private void onReply(PageState state, ClaimBatch batch, byte[] bytes, WriteReply reply) {
    if (reply instanceof WriteReply.Written written) {
      cached = Optional.of(new PageState(written.revision(), batch.page()));
      minRevision = written.revision();
      complete(batch);
    } else if (reply instanceof WriteReply.Conflict conflict) {
      counters.increment(ClaimEvent.WRITE_CONFLICT);
      cached = Optional.empty();
      minRevision = conflict.current();
      retrySoon();
    } else if (reply instanceof WriteReply.Unknown) {
      counters.increment(ClaimEvent.WRITE_IN_DOUBT);
      resend(state, batch, bytes);
    } else {
      WriteReply.Unavailable unavailable = (WriteReply.Unavailable) reply;
      cached = Optional.empty();
      failAll(unavailable.reason(), unavailable.retryAfter());
    }
  }

  /** Sends the same write again after a delay, until its oldest update times out. */
  private void resend(PageState state, ClaimBatch batch, byte[] bytes) {
    if (batch.oldestDeadlineNanos() - timers.nowNanos() <= 0) {
      cached = Optional.empty();
      retrySoon();
      return;
    }
    timers.after(RETRY_DELAY, () -> send(state, batch, bytes));
  }

  private void complete(ClaimBatch batch) {
    List<Runnable> results = new ArrayList<>();
    for (PageUpdateResult result : batch.results()) {
      PendingUpdate update = updates.remove();
      results.add(() -> update.consumer().accept(result));
    }
    busy = false;
    results.forEach(Runnable::run);
    next();
  }

  private void failAll(String reason, Optional<Duration> retryAfter) {
    List<PendingUpdate> failed = new ArrayList<>(updates);
    updates.clear();
    busy = false;
    PageUpdateResult result =
        new PageUpdateResult.Unavailable(reason, retryAfter.orElse(UNAVAILABLE_RETRY_AFTER));
    failed.forEach(update -> update.consumer().accept(result));
  }

  private static PageUpdateResult unavailable(String reason) {
    return new PageUpdateResult.Unavailable(reason, UNAVAILABLE_RETRY_AFTER);
  }
}
