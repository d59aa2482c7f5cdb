package org.amaranthstream.fleet;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.wire.WatchCall;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.WatchReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Relay of this daemon's watches of the store to the daemons of its zone. They ask for the changes
 * after a revision, and the answer waits until there are some.
 *
 * <p>If the daemon stops watching a prefix, or loses the store, the waiting daemons get a failure
 * at once, so that they can watch the store themselves. So they do while a reply to this daemon's
 * own watch is overdue: its connection may be silent, and hide changes that they could read.
 *
 * <p>Daemons that pass the changes on need to know how recent an answer without changes is. They
 * get it at the moment of a reply to this daemon's own watch, so that the ages of two relayed
 * answers do not add up. Not thread safe: used on the thread of its timers.
 */
final class WatchRelay {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_WAITING = 4_096;

  /** The time after the end of a watch from which on its reply is overdue. */
  private static final Duration REPLY_MARGIN = Duration.ofMillis(500);

  private final TimerService timers;
  private final Map<String, WatchHistory> histories = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();

  /** Prefixes that this daemon watches at the store itself. */
  private final Set<String> directPrefixes = new HashSet<>();

  /** Prefixes for which the reply to this daemon's own watch is overdue. */
  private final Set<String> overduePrefixes = new HashSet<>();

  private final Map<String, Subscription> replyTimers = new HashMap<>();

  /** The durations of this daemon's last watches. */
  private final Map<String, Duration> watchWaits = new HashMap<>();

  WatchRelay(TimerService timers) {
    this.timers = timers;
  }

  /** Registers this relay as the handler of watches of peers. */
  void serve(FleetLinks links) {
    links.register(
        QueryKind.WATCH,
        (LocalVm from, byte[] body, Duration timeout) -> handle(body, WatchSource.ANY));
    links.register(
        QueryKind.DIRECT_WATCH,
        (LocalVm from, byte[] body, Duration timeout) -> handle(body, WatchSource.DIRECT));
  }

  /**
   * Records that this daemon watches {@code prefix} for changes after {@code after}.
   *
   * @param source {@code DIRECT} if it watches the store itself, {@code ANY} if through a peer
   * @param wait the time after which the watch is answered even if there are no changes
   */
  void onWatchStarted(String prefix, Revision after, WatchSource source, Duration wait) {
    history(prefix).continueAt(after);
    watchWaits.put(prefix, wait);
    expectReply(prefix, wait);
    if (source == WatchSource.DIRECT) {
      directPrefixes.add(prefix);
    } else if (directPrefixes.remove(prefix)) {
      wake(prefix);
    }
  }

  private void expectReply(String prefix, Duration wait) {
    Subscription timer = timers.after(wait.plus(REPLY_MARGIN), () -> onOverdue(prefix));
    Subscription previous = replyTimers.put(prefix, timer);
    if (previous != null) {
      previous.cancel();
    }
  }

  private void onOverdue(String prefix) {
    logger.atInfo().log("event=watch_overdue prefix=%s", prefix);
    replyTimers.remove(prefix);
    overduePrefixes.add(prefix);
    wake(prefix);
  }

  private void expectNoReply(String prefix) {
    overduePrefixes.remove(prefix);
    Subscription timer = replyTimers.remove(prefix);
    if (timer != null) {
      timer.cancel();
    }
  }

  private WatchHistory history(String prefix) {
    return histories.computeIfAbsent(prefix, unused -> new WatchHistory());
  }

  /** Passes on the reply to this daemon's own watch that began at {@code after}. */
  void onReply(String prefix, Revision after, WatchReply reply) {
    expectNoReply(prefix);
    if (reply instanceof WatchReply.Changes changes) {
      history(prefix).append(after, changes);
      wake(prefix);
      answerLongWaiting(prefix);
    } else {
      close(prefix);
    }
  }

  /** Stops relaying a prefix, because this daemon does not watch it itself any more. */
  void close(String prefix) {
    expectNoReply(prefix);
    directPrefixes.remove(prefix);
    WatchHistory history = histories.remove(prefix);
    if (history != null) {
      history.close();
      wake(prefix);
    }
  }

  private void wake(String prefix) {
    for (Waiter waiter : List.copyOf(waiters)) {
      if (waiter.prefix.equals(prefix)) {
        waiter.tryComplete();
      }
    }
  }

  /**
   * Answers the watches of daemons that pass the answer on, unless they began a short time ago,
   * which would cost more messages than it saves.
   */
  private void answerLongWaiting(String prefix) {
    for (Waiter waiter : List.copyOf(waiters)) {
      if (waiter.prefix.equals(prefix)
          && waiter.source == WatchSource.DIRECT
          && waiter.hasWaitedForHalf()) {
        waiter.completeWithoutChanges();
      }
    }
  }

  /** Handles an encoded watch of a peer, which needs changes from {@code source}. */
  CompletableFuture<Result<byte[]>> handle(byte[] body, WatchSource source) {
    try {
      WatchCall watch = WatchCall.parseFrom(body);
      return handle(watch, source);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.INVALID_REQUEST, "malformed watch: " + e));
    }
  }

  private CompletableFuture<Result<byte[]>> handle(WatchCall watch, WatchSource source) {
    Waiter waiter = new Waiter(watch, source);
    if (!waiter.tryComplete()) {
      if (waiters.size() >= MAX_WAITING) {
        waiter.fail(ResultCode.NOT_RUN_QUEUE_FULL, "the limit of waiting watches is reached");
      } else {
        waiter.await();
      }
    }
    return waiter.reply;
  }

  /** Watch of a peer that waits for changes. */
  private final class Waiter {
    private final String prefix;
    private final Revision after;
    private final WatchSource source;
    private final Duration wait;
    private final long startNanos = timers.nowNanos();
    private final CompletableFuture<Result<byte[]>> reply = new CompletableFuture<>();

    private Waiter(WatchCall watch, WatchSource source) {
      this.prefix = watch.getPrefix();
      this.after = Revision.of(watch.getAfter());
      this.source = source;
      this.wait = Duration.ofMillis(watch.getWaitMs());
    }

    private void await() {
      waiters.add(this);
      Subscription timeout = timers.after(wait, this::onWaitEnded);
      Subscription end = timers.after(wait.plus(REPLY_MARGIN), this::completeWithoutReply);
      reply.whenComplete(
          (result, thrown) -> {
            timeout.cancel();
            end.cancel();
            waiters.remove(this);
          });
    }

    private boolean hasWaitedForHalf() {
      Duration waited = Duration.ofNanos(timers.nowNanos() - startNanos);
      return waited.compareTo(wait.dividedBy(2)) >= 0;
    }

    /**
     * Completes the watch, unless its daemon passes the answer on and a reply to this daemon's own
     * watch, which is no longer than this one, should have arrived meanwhile.
     */
    private void onWaitEnded() {
      Duration ownWait = watchWaits.getOrDefault(prefix, Duration.ZERO);
      if (source == WatchSource.ANY || ownWait.compareTo(wait) > 0) {
        completeWithoutChanges();
      }
    }

    private void completeWithoutReply() {
      fail(ResultCode.PLATFORM_UNAVAILABLE, "no reply of the store during the watch");
    }

    /** Completes the watch if there are changes, or if this daemon cannot know of them. */
    private boolean tryComplete() {
      Optional<WatchReply.Changes> changes = changes();
      if (changes.isEmpty()) {
        fail(ResultCode.PLATFORM_UNAVAILABLE, "the prefix is not watched since that revision");
      } else if (!changes.get().changes().isEmpty()) {
        complete(changes.get());
      } else if (overduePrefixes.contains(prefix)) {
        fail(ResultCode.PLATFORM_UNAVAILABLE, "the store does not answer the watch of this daemon");
      }
      return reply.isDone();
    }

    private void completeWithoutChanges() {
      changes().ifPresent(this::complete);
    }

    private Optional<WatchReply.Changes> changes() {
      if (source == WatchSource.DIRECT && !directPrefixes.contains(prefix)) {
        return Optional.empty();
      }
      return Optional.ofNullable(histories.get(prefix)).flatMap(history -> history.since(after));
    }

    private void complete(WatchReply.Changes changes) {
      reply.complete(Result.success(StoreCallCodec.encodeWatch(changes).toByteArray()));
    }

    private void fail(ResultCode code, String message) {
      reply.complete(Result.failure(code, message));
    }
  }
}
