package org.amaranthstream.weights;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.WriteReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Lease on an entry of the key-value service. Its fencing token is the revision at which the entry
 * was acquired.
 *
 * <p>The remaining time is measured on the monotonic clock, from the time just before the last
 * successful grant or renewal was sent. The check only avoids useless orders: the fencing token and
 * the versions that engines report make late orders safe. {@link #isValidFor} may be called from
 * any thread, all other methods only from the decision thread.
 */
final class ControllerLease {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  static final Duration TTL = Duration.ofSeconds(10);
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(15);

  private final String key;
  private final byte[] holder;
  private final KeyValueStore store;
  private final Duty duty;
  private final TimerService timers;
  private final BooleanSupplier mayCompete;
  private volatile @Nullable Acquisition acquisition;
  private boolean isRoundOpen;
  private long roundStartNanos;
  private long round;

  ControllerLease(
      String key,
      String holder,
      KeyValueStore store,
      Duty duty,
      TimerService timers,
      BooleanSupplier mayCompete) {
    this.key = key;
    this.holder = holder.getBytes(StandardCharsets.UTF_8);
    this.store = store;
    this.duty = duty;
    this.timers = timers;
    this.mayCompete = mayCompete;
  }

  /** Returns the fencing token if the lease is valid for at least {@code time} more. */
  Optional<FencingNumber> fencingFor(Duration time) {
    Acquisition current = acquisition;
    return current != null && current.expiresNanos - timers.nowNanos() > time.toNanos()
        ? Optional.of(current.fencing)
        : Optional.empty();
  }

  /**
   * Returns true if the lease is held with token {@code fencing} and valid for at least {@code
   * time} more.
   */
  boolean isValidFor(FencingNumber fencing, Duration time) {
    return fencingFor(time).equals(Optional.of(fencing));
  }

  /** Renews the lease if it is held, else tries to acquire it. */
  void renewOrAcquire() {
    long now = timers.nowNanos();
    if (isRoundOpen && now - roundStartNanos < REPLY_TIMEOUT.toNanos()) {
      return;
    }
    isRoundOpen = true;
    roundStartNanos = now;
    round++;
    if (acquisition != null) {
      renew(acquisition, now);
    } else if (mayCompete.getAsBoolean()) {
      whenReplied(store.get(key), this::onRead);
    } else {
      isRoundOpen = false;
    }
  }

  /** Releases the lease. */
  void release() {
    Acquisition current = acquisition;
    acquisition = null;
    if (current != null) {
      store.revokeLease(current.lease);
    }
  }

  /** Drops the acquisition with token {@code fencing}, which a later one has replaced. */
  void invalidate(FencingNumber fencing) {
    Acquisition current = acquisition;
    if (current != null && current.fencing.equals(fencing)) {
      logger.atWarning().log("event=controller_deposed key=%s fencing=%s", key, fencing);
      acquisition = null;
    }
  }

  private void renew(Acquisition current, long sentNanos) {
    whenReplied(
        store.renewLease(current.lease),
        result -> {
          isRoundOpen = false;
          if (!current.equals(acquisition)) {
            return;
          }
          if (result instanceof Result.Success<LeaseId>) {
            acquisition =
                new Acquisition(current.lease, current.fencing, sentNanos + TTL.toNanos());
          } else if (current.expiresNanos - timers.nowNanos() <= 0) {
            acquisition = null;
          }
        });
  }

  private void onRead(Result<Optional<KvEntry>> result) {
    boolean isFree =
        result instanceof Result.Success<Optional<KvEntry>> success && success.value().isEmpty();
    if (!isFree) {
      isRoundOpen = false;
      return;
    }
    long sentNanos = timers.nowNanos();
    whenReplied(store.grantLease(TTL), granted -> onGranted(granted, sentNanos));
  }

  private void onGranted(Result<LeaseId> result, long sentNanos) {
    if (!(result instanceof Result.Success<LeaseId> success)) {
      isRoundOpen = false;
      return;
    }
    LeaseId lease = success.value();
    whenReplied(
        store.compareAndSwap(key, Revision.of(0), entryValue(lease), Optional.of(lease)),
        reply -> onAcquired(lease, sentNanos, reply));
  }

  private void onAcquired(LeaseId lease, long sentNanos, WriteReply reply) {
    if (reply instanceof WriteReply.Written written) {
      recordAcquisition(lease, sentNanos, written.revision());
    } else if (reply instanceof WriteReply.Unknown) {
      whenReplied(store.get(key), read -> resolveUnknownWrite(lease, sentNanos, read));
    } else {
      isRoundOpen = false;
      store.revokeLease(lease);
    }
  }

  /**
   * Reads the entry after a write with unknown outcome: the write took effect if the entry names
   * this holder and lease.
   */
  private void resolveUnknownWrite(LeaseId lease, long sentNanos, Result<Optional<KvEntry>> read) {
    if (read instanceof Result.Success<Optional<KvEntry>> success
        && success.value().isPresent()
        && Arrays.equals(success.value().get().value(), entryValue(lease))) {
      recordAcquisition(lease, sentNanos, success.value().get().revision());
      return;
    }
    isRoundOpen = false;
    store.revokeLease(lease);
  }

  private void recordAcquisition(LeaseId lease, long sentNanos, Revision revision) {
    isRoundOpen = false;
    acquisition =
        new Acquisition(lease, FencingNumber.of(revision.value()), sentNanos + TTL.toNanos());
    logger.atInfo().log("event=controller_acquired key=%s fencing=%s", key, revision);
  }

  private byte[] entryValue(LeaseId lease) {
    byte[] suffix = ("/" + lease.value()).getBytes(StandardCharsets.UTF_8);
    byte[] value = Arrays.copyOf(holder, holder.length + suffix.length);
    System.arraycopy(suffix, 0, value, holder.length, suffix.length);
    return value;
  }

  /**
   * Passes the reply to {@code consumer} on the decision thread, unless a later round has begun.
   */
  private <T> void whenReplied(CompletableFuture<T> reply, Consumer<T> consumer) {
    long expected = round;
    reply.thenAccept(
        value ->
            duty.offer(
                () -> {
                  if (round == expected) {
                    consumer.accept(value);
                  }
                }));
  }

  private record Acquisition(LeaseId lease, FencingNumber fencing, long expiresNanos) {}
}
