package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.logs.LogText;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * A local mirror of the entries with a key prefix: it lists the prefix once and then watches it.
 *
 * <p>The prefix is listed again if the store has compacted the history since the last response.
 * After a response with changes the next watch is delayed, so that changes in quick succession cost
 * one call. That watch is shorter by the delay, so that the time between two responses, which
 * bounds how long a silent connection hides a change, stays the same.
 *
 * <p>A listener that fails on one entry is logged and called for the others.
 *
 * <p>Not thread safe: used on the thread of its timers, on which the store must complete its
 * futures too.
 *
 * <pre>{@code
 * PrefixMirror mirror = PrefixMirror.create(store, timers, "settings/", timing, listener);
 * mirror.start();
 * }</pre>
 */
public final class PrefixMirror {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Short against the time in which a change must be in force. */
  private static final Duration MAX_RELAYED_DEBOUNCE = Duration.ofMillis(100);

  private final TransactionalStore store;
  private final TimerService timers;
  private final String prefix;
  private final MirrorTiming timing;
  private final MirrorListener listener;
  private final Map<String, Revision> revisions = new HashMap<>();
  private final Set<String> listed = new HashSet<>();
  private Revision listedAt = Revision.of(0);
  private Revision after = Revision.of(0);
  private Duration backoff;
  private boolean isUnavailable;
  private boolean hasCaughtUp;
  private boolean isStopped;
  private boolean isRefreshing;

  private PrefixMirror(
      TransactionalStore store,
      TimerService timers,
      String prefix,
      MirrorTiming timing,
      MirrorListener listener) {
    this.store = store;
    this.timers = timers;
    this.prefix = prefix;
    this.timing = timing;
    this.listener = listener;
    this.backoff = timing.minBackoff();
  }

  /** Returns a mirror of the entries whose key starts with {@code prefix}, not started. */
  public static PrefixMirror create(
      TransactionalStore store,
      TimerService timers,
      String prefix,
      MirrorTiming timing,
      MirrorListener listener) {
    return new PrefixMirror(
        checkNotNull(store, "store"),
        checkNotNull(timers, "timers"),
        checkNotNull(prefix, "prefix"),
        checkNotNull(timing, "timing"),
        checkNotNull(listener, "listener"));
  }

  /** Starts to mirror the prefix. */
  public void start() {
    list();
  }

  /**
   * Reads the first page of the prefix without waiting for the watch, whose connection may be
   * unresponsive. Does nothing while another refresh is in progress.
   */
  public void refresh() {
    if (!isRefreshing && !isStopped) {
      isRefreshing = true;
      range("").thenAccept(this::onRefreshed);
    }
  }

  private void onRefreshed(Result<KvPage> result) {
    isRefreshing = false;
    if (result instanceof Result.Success<KvPage> success) {
      KvPage page = success.value();
      applyBatch(page.revision(), () -> page.entries().forEach(this::put));
    }
  }

  /** Stops the mirror, which makes no further calls. */
  public void stop() {
    isStopped = true;
  }

  /** Returns true if the prefix was listed completely at least once. */
  public boolean hasCaughtUp() {
    return hasCaughtUp;
  }

  /** Returns the revision of the store up to which all changes have been applied. */
  public Revision revision() {
    return after;
  }

  private void list() {
    if (isStopped) {
      return;
    }
    listed.clear();
    page("", true);
  }

  private void page(String afterKey, boolean isFirst) {
    range(afterKey).thenAccept(result -> onPage(result, isFirst));
  }

  private CompletableFuture<Result<KvPage>> range(String afterKey) {
    return store
        .range(prefix, afterKey)
        .exceptionally(thrown -> new Result.Failure<>(unexpected(thrown)));
  }

  /** Returns the error of a call of the store that broke its contract by an exception. */
  private static ErrorDetail unexpected(Throwable thrown) {
    return ErrorDetail.of(ResultCode.INTERNAL, "unexpected exception: " + thrown);
  }

  private void onPage(Result<KvPage> result, boolean isFirst) {
    if (result instanceof Result.Failure<KvPage> failure) {
      onFailure(failure.error().toString(), this::list);
      return;
    }
    KvPage page = ((Result.Success<KvPage>) result).value();
    if (isFirst) {
      listedAt = page.revision();
    }
    boolean hasMore = page.hasMore() && !page.entries().isEmpty();
    applyBatch(page.revision(), () -> applyPage(page, hasMore));
    if (hasMore) {
      page(page.entries().get(page.entries().size() - 1).key(), false);
      return;
    }
    after = listedAt;
    onSuccess();
    watch();
  }

  private void applyPage(KvPage page, boolean hasMore) {
    for (KvEntry entry : page.entries()) {
      listed.add(entry.key());
      put(entry);
    }
    if (!hasMore) {
      List.copyOf(revisions.keySet()).stream()
          .filter(key -> !listed.contains(key))
          .forEach(this::remove);
    }
  }

  private void applyBatch(Revision revision, Runnable changes) {
    notifyListener("", () -> listener.onBatchStarted(revision));
    changes.run();
    notifyListener("", listener::onBatchApplied);
  }

  /**
   * Calls the listener. An entry on which the listener fails must neither keep the other entries
   * from being applied nor end the watch.
   */
  private void notifyListener(String key, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException | StackOverflowError e) {
      logger.atSevere().withCause(e).log(
          "event=store_listener_failed prefix=%s key=%s", prefix, LogText.of(key));
    }
  }

  private void watch() {
    watch(timing.watchWait());
  }

  private void watch(Duration wait) {
    if (isStopped) {
      return;
    }
    store
        .watch(prefix, after, wait)
        .exceptionally(thrown -> new WatchReply.Failed(unexpected(thrown)))
        .thenAccept(this::onWatched);
  }

  private void watchAfter(Duration delay) {
    Duration rest = timing.watchWait().minus(delay);
    timers.after(delay, () -> watch(rest.isNegative() ? Duration.ZERO : rest));
  }

  private void onWatched(WatchReply reply) {
    if (reply instanceof WatchReply.Changes changes) {
      onChanges(changes);
    } else if (reply instanceof WatchReply.Failed failed) {
      onFailure(failed.error().toString(), this::watch);
    } else {
      logger.atInfo().log("event=store_history_lost prefix=%s after=%s", prefix, after);
      list();
    }
  }

  private void onChanges(WatchReply.Changes changes) {
    if (!changes.changes().isEmpty()) {
      applyBatch(changes.revision(), () -> changes.changes().forEach(this::apply));
    }
    after = changes.revision();
    onSuccess();
    if (changes.changes().isEmpty()) {
      watch();
    } else {
      watchAfter(changes.isRelayed() ? relayedDebounce() : timing.debounce());
    }
  }

  /**
   * The relay has already collected changes for the whole debounce, so a second one is short. It
   * collects the changes that several relays deliver a little apart.
   */
  private Duration relayedDebounce() {
    Duration debounce = timing.debounce();
    return debounce.compareTo(MAX_RELAYED_DEBOUNCE) < 0 ? debounce : MAX_RELAYED_DEBOUNCE;
  }

  private void apply(KvChange change) {
    if (change instanceof KvChange.Put put) {
      put(put.entry());
    } else {
      removeIfOlder(change);
    }
  }

  /**
   * Applies an entry unless the mirror is ahead of it. All changes up to {@code after} are applied,
   * so an entry from before that is not mirrored has been removed since.
   */
  private void put(KvEntry entry) {
    Revision known = revisions.getOrDefault(entry.key(), after);
    if (entry.revision().isAfter(known)) {
      revisions.put(entry.key(), entry.revision());
      notifyListener(entry.key(), () -> listener.onPut(entry));
    }
  }

  private void removeIfOlder(KvChange removal) {
    Revision before = revisions.get(removal.key());
    if (before != null && removal.revision().isAfter(before)) {
      remove(removal.key());
    }
  }

  private void remove(String key) {
    revisions.remove(key);
    notifyListener(key, () -> listener.onRemoved(key));
  }

  private void onSuccess() {
    backoff = timing.minBackoff();
    if (isUnavailable || !hasCaughtUp) {
      isUnavailable = false;
      hasCaughtUp = true;
      logger.atInfo().log("event=store_watch_ready prefix=%s revision=%s", prefix, after);
      notifyListener("", listener::onCaughtUp);
    }
  }

  private void onFailure(String error, Runnable retry) {
    if (!isUnavailable) {
      isUnavailable = true;
      logger.atWarning().log("event=store_watch_lost prefix=%s error=\"%s\"", prefix, error);
      notifyListener("", listener::onStoreUnavailable);
    }
    timers.after(backoff, retry);
    Duration doubled = backoff.multipliedBy(2);
    backoff = doubled.compareTo(timing.maxBackoff()) < 0 ? doubled : timing.maxBackoff();
  }
}
