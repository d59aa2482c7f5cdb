package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.weights.FencingTokenSource;
import org.jspecify.annotations.Nullable;

/**
 * A duty that at most one daemon performs at a time, held under the daemon's lease.
 *
 * <p>The fencing number is the revision at which the duty was taken. A daemon that takes the duty
 * waits before it acts, until acts of the holder before it can no longer happen; a holder stops to
 * act a while before its lease can have ended. A holder that leaves releases the duty with the age
 * of its last act, and the next one waits only as long as the acts of two holders must be apart. A
 * holder notes in the store that it starts to act, and acts only once that is acknowledged; so a
 * process that starts anew on the VM of the last holder that acted goes on at once, also in the
 * place of a holder that has not started. Used on the thread of its timers.
 */
public final class HeldDuty implements FleetListener, FencingTokenSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

  /** The last acts of a process that was killed may still be on their way. */
  private static final Duration RESTART_WAIT = Duration.ofMillis(500);

  private final String name;
  private final TransactionalStore store;
  private final TimerService timers;
  private final Fleet fleet;
  private final FleetSession session;
  private final DutyTiming timing;
  private @Nullable FencingNumber fence;
  private @Nullable LeaseId heldLease;
  private long actFromNanos;
  private boolean hasStarted;
  private Optional<Long> lastActNanos = Optional.empty();
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

  @Override
  public Optional<FencingNumber> current() {
    boolean isHeld = fence != null && session.lease().equals(Optional.ofNullable(heldLease));
    boolean isSafe = session.remaining().compareTo(timing.stopBefore()) > 0;
    return isHeld && isSafe && hasStarted && !isResigned ? Optional.of(fence) : Optional.empty();
  }

  @Override
  public Optional<FencingNumber> issueForAction() {
    Optional<FencingNumber> number = current();
    if (number.isPresent()) {
      lastActNanos = Optional.of(timers.nowNanos());
    }
    return number;
  }

  /** Returns true if this daemon holds the duty, though perhaps it may not act yet. */
  public boolean isHeld() {
    return fence != null;
  }

  /**
   * Acts no more, does not take the duty again, and frees it for others.
   *
   * @return completes when the duty was freed or could not be
   */
  public CompletableFuture<Void> resign() {
    isResigned = true;
    FencingNumber held = fence;
    if (held == null) {
      return CompletableFuture.completedFuture(null);
    }
    Duration sinceAct = sinceAct();
    Transaction release =
        Transaction.builder()
            .expect(FleetKeys.duty(name), Revision.of(held.value()))
            .remove(FleetKeys.duty(name))
            .put(FleetKeys.release(name), encode(sinceAct))
            .build();
    return store
        .transact(release)
        .thenAccept(
            reply ->
                logger.atInfo().log(
                    "event=duty_released duty=%s fence=%s last_act_ms=%d reply=%s",
                    name, held, sinceAct.toMillis(), reply));
  }

  /**
   * Returns the time since the last act that the next holder must keep away from. A holder that has
   * not acted yet may still be waiting for the one before: then that act may lie ahead, and the
   * time is less than the turn by the rest of the wait.
   */
  private Duration sinceAct() {
    long now = timers.nowNanos();
    if (lastActNanos.isPresent()) {
      return Duration.ofNanos(now - lastActNanos.get());
    }
    Duration restOfWait = Duration.ofNanos(Math.max(0, actFromNanos - now));
    return timing.betweenHolders().minus(restOfWait);
  }

  private static byte[] encode(Duration sinceAct) {
    return Long.toString(sinceAct.toMillis()).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the time since the last act of a holder that released the duty, at the release. */
  private static Duration decode(KvEntry release) {
    return Duration.ofMillis(Long.parseLong(new String(release.value(), StandardCharsets.UTF_8)));
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
      takeFromHolder(holder.get(), value, lease.get());
    } else {
      takeFree(value, lease.get());
    }
  }

  private byte[] holderValue(LeaseId lease) {
    String text = session.self().vm() + "/" + session.self().incarnation() + "/" + lease;
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void takeFromHolder(KvEntry holder, byte[] ownValue, LeaseId lease) {
    if (Arrays.equals(holder.value(), ownValue)) {
      // The answer to an earlier take was lost, and the take had succeeded.
      begin(holder.revision(), lease, timing.startAfter());
      return;
    }
    Optional<KvEntry> ownStart = ownStart();
    if (ownStart.isPresent()) {
      Transaction.Builder take =
          Transaction.builder()
              .expect(holder.key(), holder.revision())
              .expect(ownStart.get().key(), ownStart.get().revision())
              .put(holder.key(), ownValue, lease);
      take(take, lease, RESTART_WAIT);
    }
  }

  /** Returns the note of the last holder that acted if that was on this VM. */
  private Optional<KvEntry> ownStart() {
    return fleet.lastStart(name).filter(this::isOwnStart);
  }

  private boolean isOwnStart(KvEntry entry) {
    Optional<DutyStart> start = DutyStart.decode(entry.value());
    return start.isPresent() && start.get().isOnVmOf(session.self());
  }

  /** Each take removes the release before it, so a release tells of the last holder. */
  private void takeFree(byte[] value, LeaseId lease) {
    String key = FleetKeys.duty(name);
    Transaction.Builder take = Transaction.builder().expectAbsent(key).put(key, value, lease);
    Optional<KvEntry> release = fleet.release(name);
    release.ifPresent(entry -> take.expect(entry.key(), entry.revision()).remove(entry.key()));
    Optional<KvEntry> ownStart = ownStart();
    ownStart.ifPresent(entry -> take.expect(entry.key(), entry.revision()));
    Duration wait = release.map(this::waitAfter).orElse(timing.startAfter());
    take(take, lease, ownStart.isPresent() ? RESTART_WAIT : wait);
  }

  private void take(Transaction.Builder take, LeaseId lease, Duration wait) {
    isAsking = true;
    store.transact(take.build()).thenAccept(reply -> onReply(reply, lease, wait));
  }

  private Duration waitAfter(KvEntry release) {
    Duration wait = timing.betweenHolders().minus(decode(release));
    return wait.isNegative() ? Duration.ZERO : wait;
  }

  private void onReply(TransactionReply reply, LeaseId lease, Duration wait) {
    isAsking = false;
    if (reply instanceof TransactionReply.Committed committed) {
      begin(committed.revision(), lease, wait);
    } else {
      logger.atFine().log("event=duty_not_taken duty=%s reply=\"%s\"", name, reply);
    }
  }

  private void begin(Revision revision, LeaseId lease, Duration wait) {
    FencingNumber taken = FencingNumber.of(revision.value());
    fence = taken;
    heldLease = lease;
    hasStarted = false;
    long now = timers.nowNanos();
    // An earlier start of this process may have acted until just now.
    lastActNanos = ownStart().isPresent() ? Optional.of(now) : Optional.empty();
    actFromNanos = now + wait.toNanos();
    logger.atInfo().log(
        "event=duty_taken duty=%s fence=%s lease=%s wait_ms=%d",
        name, fence, lease, wait.toMillis());
    timers.after(wait, () -> noteStart(taken));
  }

  private boolean isHeldAs(FencingNumber taken) {
    return taken.equals(fence) && !isResigned;
  }

  private void noteStart(FencingNumber taken) {
    if (!isHeldAs(taken)) {
      return;
    }
    Transaction note =
        Transaction.builder()
            .expect(FleetKeys.duty(name), Revision.of(taken.value()))
            .put(FleetKeys.start(name), DutyStart.of(session.self(), taken).encode())
            .build();
    store.transact(note).thenAccept(reply -> onNoted(taken, reply));
  }

  private void onNoted(FencingNumber taken, TransactionReply reply) {
    if (!isHeldAs(taken)) {
      return;
    }
    if (reply instanceof TransactionReply.Committed) {
      hasStarted = true;
      logger.atInfo().log("event=duty_started duty=%s fence=%s", name, taken);
    } else {
      logger.atInfo().log(
          "event=duty_start_not_noted duty=%s fence=%s reply=\"%s\"", name, taken, reply);
      timers.after(RETRY_PAUSE, () -> noteStart(taken));
    }
  }

  private void lose(String reason) {
    logger.atWarning().log("event=duty_lost duty=%s fence=%s reason=\"%s\"", name, fence, reason);
    fence = null;
    heldLease = null;
  }

  /** Gives up a duty whose entry is gone or another's. */
  @Override
  public void onDutyChanged(String duty) {
    FencingNumber held = fence;
    if (!duty.equals(name) || held == null) {
      return;
    }
    Optional<KvEntry> holder = fleet.holder(name);
    boolean isCurrent = holder.isPresent() && holder.get().revision().value() <= held.value();
    if (!isCurrent) {
      lose("the entry has changed");
    }
  }

  /** A free duty is taken without waiting for the next try. */
  @Override
  public void onReleased(String duty) {
    if (duty.equals(name)) {
      tryTake();
    }
  }
}
