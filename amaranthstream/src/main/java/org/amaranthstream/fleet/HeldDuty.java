package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A duty that at most one daemon performs at a time, held under the daemon's lease.
 *
 * <p>The fencing number is the revision at which the duty was taken. A daemon that takes the duty
 * waits before it acts, until orders of the holder before it can no longer arrive; a holder stops
 * to act a while before its lease can have ended. Used on the thread of its timers.
 */
public final class HeldDuty implements FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

  private final String name;
  private final TransactionalStore store;
  private final TimerService timers;
  private final Fleet fleet;
  private final FleetSession session;
  private final DutyTiming timing;
  private @Nullable FencingNumber fence;
  private @Nullable LeaseId heldLease;
  private long actFromNanos;
  private boolean isAsking;
  private boolean isResigned;

  private HeldDuty(
      String name,
      TransactionalStore store,
      TimerService timers,
      Fleet fleet,
      FleetSession session,
      DutyTiming timing) {
    this.name = name;
    this.store = store;
    this.timers = timers;
    this.fleet = fleet;
    this.session = session;
    this.timing = timing;
  }

  /** Returns a duty that this daemon tries to hold once {@link #start} is called. */
  public static HeldDuty create(
      String name,
      TransactionalStore store,
      TimerService timers,
      Fleet fleet,
      FleetSession session,
      DutyTiming timing) {
    return new HeldDuty(
        checkNotNull(name, "name"),
        checkNotNull(store, "store"),
        checkNotNull(timers, "timers"),
        checkNotNull(fleet, "fleet"),
        checkNotNull(session, "session"),
        checkNotNull(timing, "timing"));
  }

  /** Starts to try. */
  public void start() {
    fleet.listen(this);
    timers.every(RETRY_PAUSE, this::tryTake);
  }

  /**
   * Returns the fencing number if this daemon may act right now; to be asked right before each act.
   */
  public Optional<FencingNumber> fence() {
    boolean isHeld = fence != null && session.lease().equals(Optional.ofNullable(heldLease));
    boolean isSafe = session.remaining().compareTo(timing.stopBefore()) > 0;
    boolean isClear = timers.nowNanos() - actFromNanos >= 0;
    return isHeld && isSafe && isClear && !isResigned ? Optional.of(fence) : Optional.empty();
  }

  /** Returns true if this daemon holds the duty, though perhaps it may not act yet. */
  public boolean isHeld() {
    return fence != null;
  }

  /** Acts no more and does not take the duty again; the lease's end frees it for others. */
  public void resign() {
    isResigned = true;
  }

  private void tryTake() {
    Optional<LeaseId> lease = session.lease();
    if (fence != null && !lease.equals(Optional.ofNullable(heldLease))) {
      lose("the lease has ended");
    }
    if (isResigned || isAsking || fence != null || lease.isEmpty() || !fleet.hasCaughtUp()) {
      return;
    }
    byte[] value = holderValue(lease.get());
    Optional<KvEntry> holder = fleet.holder(name);
    if (holder.isPresent()) {
      adopt(holder.get(), value, lease.get());
      return;
    }
    isAsking = true;
    String key = FleetKeys.duty(name);
    Transaction take = Transaction.builder().expectAbsent(key).put(key, value, lease.get()).build();
    store.transact(take).thenAccept(reply -> onReply(reply, lease.get()));
  }

  private byte[] holderValue(LeaseId lease) {
    String text = session.self().vm() + "/" + session.self().incarnation() + "/" + lease;
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** The answer to an earlier take was lost, and the take had succeeded. */
  private void adopt(KvEntry holder, byte[] ownValue, LeaseId lease) {
    if (Arrays.equals(holder.value(), ownValue)) {
      take(FencingNumber.of(holder.revision().value()), lease);
    }
  }

  private void onReply(TransactionReply reply, LeaseId lease) {
    isAsking = false;
    if (!(reply instanceof TransactionReply.Committed committed)) {
      logger.atFine().log("event=duty_not_taken duty=%s reply=\"%s\"", name, reply);
      return;
    }
    take(FencingNumber.of(committed.revision().value()), lease);
  }

  private void take(FencingNumber number, LeaseId lease) {
    fence = number;
    heldLease = lease;
    actFromNanos = timers.nowNanos() + timing.startAfter().toNanos();
    logger.atInfo().log("event=duty_taken duty=%s fence=%s lease=%s", name, number, lease);
  }

  private void lose(String reason) {
    logger.atWarning().log("event=duty_lost duty=%s fence=%s reason=\"%s\"", name, fence, reason);
    fence = null;
    heldLease = null;
  }

  /** Gives up a duty whose entry is gone or another's. */
  @Override
  public void onDutyChanged(String duty) {
    if (!duty.equals(name)) {
      return;
    }
    Optional<KvEntry> holder = fleet.holder(name);
    boolean isOwnFence =
        fence != null && holder.isPresent() && holder.get().revision().value() == fence.value();
    if (fence != null && !isOwnFence) {
      boolean isOlder = holder.isPresent() && holder.get().revision().value() < fence.value();
      if (!isOlder) {
        lose("the entry has changed");
      }
    }
  }
}
