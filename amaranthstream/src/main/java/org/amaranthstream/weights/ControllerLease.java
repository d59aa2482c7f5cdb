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
 * A lease on an entry of the key-value service, with a fencing number: the revision at which the
 * entry was acquired.
 *
 * <p>The remaining time counts from before the last successful grant or renewal was sent, on the
 * monotonic clock. It only avoids wasted orders; fencing and the versions that engines report keep
 * them safe. {@link #isValidFor} may be asked from any thread, the rest is for the decision thread.
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
  private volatile @Nullable Held held;
  private boolean busy;
  private long busySinceNanos;
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

  /** Returns the fencing number if the lease is held for at least {@code time} more. */
  Optional<FencingNumber> fencingFor(Duration time) {
    Held now = held;
    return now != null && now.expiresNanos - timers.nowNanos() > time.toNanos()
        ? Optional.of(now.fencing)
        : Optional.empty();
  }

  /**
   * Returns true if the acquisition with {@code fencing} is held for at least {@code time} more.
   */
  boolean isValidFor(FencingNumber fencing, Duration time) {
    return fencingFor(time).equals(Optional.of(fencing));
  }

  /** Renews the lease, or tries to acquire it. */
  void maintain() {
    long now = timers.nowNanos();
    if (busy && now - busySinceNanos < REPLY_TIMEOUT.toNanos()) {
      return;
    }
    busy = true;
    busySinceNanos = now;
    round++;
    if (held != null) {
      renew(held, now);
    } else if (mayCompete.getAsBoolean()) {
      await(store.get(key), this::onRead);
    } else {
      busy = false;
    }
  }

  /** Gives the lease up. */
  void release() {
    Held now = held;
    held = null;
    if (now != null) {
      store.revokeLease(now.lease);
    }
  }

  /** Forgets an acquisition that a later one has replaced. */
  void depose(FencingNumber fencing) {
    Held now = held;
    if (now != null && now.fencing.equals(fencing)) {
      logger.atWarning().log("event=controller_deposed key=%s fencing=%s", key, fencing);
      held = null;
    }
  }

  private void renew(Held current, long sentNanos) {
    await(
        store.renewLease(current.lease),
        result -> {
          busy = false;
          if (!current.equals(held)) {
            return;
          }
          if (result instanceof Result.Success<LeaseId>) {
            held = new Held(current.lease, current.fencing, sentNanos + TTL.toNanos());
          } else if (current.expiresNanos - timers.nowNanos() <= 0) {
            held = null;
          }
        });
  }

  private void onRead(Result<Optional<KvEntry>> result) {
    boolean free =
        result instanceof Result.Success<Optional<KvEntry>> success && success.value().isEmpty();
    if (!free) {
      busy = false;
      return;
    }
    long sentNanos = timers.nowNanos();
    await(store.grantLease(TTL), granted -> onGranted(granted, sentNanos));
  }

  private void onGranted(Result<LeaseId> result, long sentNanos) {
    if (!(result instanceof Result.Success<LeaseId> success)) {
      busy = false;
      return;
    }
    LeaseId lease = success.value();
    await(
        store.compareAndSwap(key, Revision.of(0), holderOf(lease), Optional.of(lease)),
        reply -> onAcquired(lease, sentNanos, reply));
  }

  private void onAcquired(LeaseId lease, long sentNanos, WriteReply reply) {
    if (reply instanceof WriteReply.Written written) {
      hold(lease, sentNanos, written.revision());
    } else if (reply instanceof WriteReply.Unknown) {
      await(store.get(key), read -> settle(lease, sentNanos, read));
    } else {
      busy = false;
      store.revokeLease(lease);
    }
  }

  /** Finds out by reading whether an acquisition whose answer was lost took effect. */
  private void settle(LeaseId lease, long sentNanos, Result<Optional<KvEntry>> read) {
    if (read instanceof Result.Success<Optional<KvEntry>> success
        && success.value().isPresent()
        && Arrays.equals(success.value().get().value(), holderOf(lease))) {
      hold(lease, sentNanos, success.value().get().revision());
      return;
    }
    busy = false;
    store.revokeLease(lease);
  }

  private void hold(LeaseId lease, long sentNanos, Revision revision) {
    busy = false;
    held = new Held(lease, FencingNumber.of(revision.value()), sentNanos + TTL.toNanos());
    logger.atInfo().log("event=controller_acquired key=%s fencing=%s", key, revision);
  }

  private byte[] holderOf(LeaseId lease) {
    byte[] suffix = ("/" + lease.value()).getBytes(StandardCharsets.UTF_8);
    byte[] value = Arrays.copyOf(holder, holder.length + suffix.length);
    System.arraycopy(suffix, 0, value, holder.length, suffix.length);
    return value;
  }

  /** Brings a reply to the decision thread, unless a later round has begun. */
  private <T> void await(CompletableFuture<T> reply, Consumer<T> consumer) {
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

  private record Held(LeaseId lease, FencingNumber fencing, long expiresNanos) {}
}
