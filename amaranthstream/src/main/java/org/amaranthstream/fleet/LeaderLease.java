package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
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
 * A named leader lease, which at most one daemon of the fleet holds at a time. It lasts as long as
 * the session lease of its holder.
 *
 * <p>The fencing token is the store revision at which the leader lease was acquired. Acts of two
 * holders never overlap: a holder stops acting a safety margin before its session lease can expire,
 * and a new holder does not act until the last possible act of the previous one has taken effect. A
 * holder that releases the lease records how long ago it last acted, and its successor waits only
 * for the rest of the required gap.
 *
 * <p>A holder writes a start record to the store and acts only once that write is acknowledged. A
 * process that restarts on the VM of the last holder that acted can therefore continue after a
 * short delay, and may even replace a new holder that has not started to act.
 *
 * <p>Not thread safe: used on the thread of its timers.
 */
public final class LeaderLease implements FleetListener, FencingTokenSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /** Time for the last requests of a killed process to arrive or fail. */
  private static final Duration RESTART_DELAY = Duration.ofMillis(500);

  private final String name;
  private final TransactionalStore store;
  private final TimerService timers;
  private final Fleet fleet;
  private final FleetSession session;
  private final LeaderLeaseTiming timing;
  private @Nullable FencingNumber fence;
  private @Nullable LeaseId heldLease;
  private long earliestActNanos;
  private boolean hasStarted;
  private Optional<Long> lastActNanos = Optional.empty();
  private boolean isAcquiring;
  private boolean isReleased;
  private boolean isEligible = true;
  private BooleanSupplier mayCompete = () -> true;

  /** True from the moment this daemon became ineligible until its lease is released. */
  private boolean isYielding;

  private LeaderLease(
      String name,
      TransactionalStore store,
      TimerService timers,
      Fleet fleet,
      FleetSession session,
      LeaderLeaseTiming timing) {
    this.name = name;
    this.store = store;
    this.timers = timers;
    this.fleet = fleet;
    this.session = session;
    this.timing = timing;
  }

  /**
   * Returns a leader lease that this daemon tries to acquire once {@link #start} is called.
   *
   * @param name the name of the leader lease, which is part of its keys in the store
   */
  public static LeaderLease create(
      String name,
      TransactionalStore store,
      TimerService timers,
      Fleet fleet,
      FleetSession session,
      LeaderLeaseTiming timing) {
    return new LeaderLease(
        checkNotNull(name, "name"),
        checkNotNull(store, "store"),
        checkNotNull(timers, "timers"),
        checkNotNull(fleet, "fleet"),
        checkNotNull(session, "session"),
        checkNotNull(timing, "timing"));
  }

  /**
   * Sets which daemons compete for the lease, so that a change of the holder costs few calls. A
   * holder keeps the lease when it would not compete for it any more. Called before {@link #start}.
   */
  public void competeIf(BooleanSupplier mayCompete) {
    this.mayCompete = checkNotNull(mayCompete, "mayCompete");
  }

  /** Starts to try to acquire the leader lease, and keeps trying until it is released. */
  public void start() {
    fleet.addListener(this);
    timers.every(RETRY_DELAY, this::tryAcquire);
  }

  @Override
  public Optional<FencingNumber> current() {
    boolean isHeld = fence != null && session.lease().equals(Optional.ofNullable(heldLease));
    boolean isBeforeExpiryMargin = session.remaining().compareTo(timing.expiryMargin()) > 0;
    return isHeld && isBeforeExpiryMargin && hasStarted && !isReleased && !isYielding
        ? Optional.of(fence)
        : Optional.empty();
  }

  @Override
  public Optional<FencingNumber> issueForAction() {
    Optional<FencingNumber> number = current();
    if (number.isPresent()) {
      lastActNanos = Optional.of(timers.nowNanos());
    }
    return number;
  }

  /** Returns true if this daemon holds the leader lease, even if it must not act yet. */
  public boolean isHeld() {
    return fence != null;
  }

  /**
   * Sets whether this daemon can do the work of the leader. A holder that cannot stops acting at
   * once and releases the lease, until the release is confirmed; it acquires the lease again only
   * as any other daemon does.
   */
  public void setEligible(boolean isEligible) {
    if (this.isEligible == isEligible) {
      return;
    }
    this.isEligible = isEligible;
    logger.atInfo().log("event=duty_eligible duty=%s eligible=%s", name, isEligible);
    if (!isEligible && fence != null) {
      isYielding = true;
      yieldLease();
    }
  }

  private void yieldLease() {
    FencingNumber held = fence;
    if (held != null) {
      CompletableFuture<Void> unused = releaseHeld(held);
    }
  }

  /**
   * Stops acting, releases the leader lease, and does not acquire it again.
   *
   * @return a future that completes once the store has responded to the release, whatever the
   *     response
   */
  public CompletableFuture<Void> release() {
    isReleased = true;
    FencingNumber held = fence;
    return held == null ? CompletableFuture.completedFuture(null) : releaseHeld(held);
  }

  private CompletableFuture<Void> releaseHeld(FencingNumber held) {
    Duration timeSinceLastAct = timeSinceLastAct();
    Transaction release =
        Transaction.builder()
            .expect(FleetKeys.leaderLease(name), Revision.of(held.value()))
            .remove(FleetKeys.leaderLease(name))
            .put(FleetKeys.release(name), encode(timeSinceLastAct))
            .build();
    return store
        .transact(release)
        .thenAccept(
            response ->
                logger.atInfo().log(
                    "event=duty_released duty=%s fence=%s last_act_ms=%d reply=%s",
                    name, held, timeSinceLastAct.toMillis(), response));
  }

  /**
   * Returns how long ago the last act happened, which the next holder subtracts from the gap that
   * it must keep. If this holder has not acted, it may still be waiting for the previous holder;
   * the result is then the gap minus the remaining wait, so that the next holder waits for the
   * rest.
   */
  private Duration timeSinceLastAct() {
    long now = timers.nowNanos();
    if (lastActNanos.isPresent()) {
      return Duration.ofNanos(now - lastActNanos.get());
    }
    Duration remainingWait = Duration.ofNanos(Math.max(0, earliestActNanos - now));
    return timing.handoverGap().minus(remainingWait);
  }

  private static byte[] encode(Duration timeSinceLastAct) {
    return Long.toString(timeSinceLastAct.toMillis()).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the time between the last act and the release of the holder that released. */
  private static Duration decode(KvEntry release) {
    return Duration.ofMillis(Long.parseLong(new String(release.value(), StandardCharsets.UTF_8)));
  }

  private void tryAcquire() {
    Optional<LeaseId> lease = session.lease();
    if (fence != null && !lease.equals(Optional.ofNullable(heldLease))) {
      markLost("the lease has ended");
    }
    if (isYielding) {
      yieldLease();
    }
    boolean mayAcquire = isEligible && !isReleased && !isAcquiring && fence == null;
    if (!mayAcquire || lease.isEmpty() || !fleet.hasCaughtUp() || !mayCompete.getAsBoolean()) {
      return;
    }
    byte[] value = holderValue(lease.get());
    Optional<KvEntry> leaseHolder = fleet.leaseHolder(name);
    if (leaseHolder.isPresent()) {
      acquireFromHolder(leaseHolder.get(), value, lease.get());
    } else {
      acquireUnheld(value, lease.get());
    }
  }

  private byte[] holderValue(LeaseId lease) {
    String text = session.self().vm() + "/" + session.self().incarnation() + "/" + lease;
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void acquireFromHolder(KvEntry leaseHolder, byte[] ownValue, LeaseId lease) {
    if (Arrays.equals(leaseHolder.value(), ownValue)) {
      // An earlier acquisition succeeded, but its response was lost.
      onAcquired(leaseHolder.revision(), lease, timing.firstActDelay());
      return;
    }
    Optional<KvEntry> startOnThisVm = startOnThisVm();
    if (startOnThisVm.isPresent()) {
      Transaction.Builder acquire =
          Transaction.builder()
              .expect(leaseHolder.key(), leaseHolder.revision())
              .expect(startOnThisVm.get().key(), startOnThisVm.get().revision())
              .put(leaseHolder.key(), ownValue, lease);
      acquire(acquire, lease, RESTART_DELAY);
    }
  }

  /** Returns the start record of the last holder that acted, if it ran on this VM. */
  private Optional<KvEntry> startOnThisVm() {
    return fleet.lastStart(name).filter(this::isStartOnThisVm);
  }

  private boolean isStartOnThisVm(KvEntry entry) {
    Optional<LeadershipStart> start = LeadershipStart.decode(entry.value());
    return start.isPresent() && start.get().isOnVmOf(session.self());
  }

  /**
   * Acquires the lease while nobody holds it. Each acquisition removes the existing release record,
   * so a release record always belongs to the last holder.
   */
  private void acquireUnheld(byte[] value, LeaseId lease) {
    String key = FleetKeys.leaderLease(name);
    Transaction.Builder acquire = Transaction.builder().expectAbsent(key).put(key, value, lease);
    Optional<KvEntry> release = fleet.release(name);
    release.ifPresent(entry -> acquire.expect(entry.key(), entry.revision()).remove(entry.key()));
    Optional<KvEntry> startOnThisVm = startOnThisVm();
    startOnThisVm.ifPresent(entry -> acquire.expect(entry.key(), entry.revision()));
    Duration wait = release.map(this::remainingGap).orElse(timing.firstActDelay());
    acquire(acquire, lease, startOnThisVm.isPresent() ? RESTART_DELAY : wait);
  }

  private void acquire(Transaction.Builder acquire, LeaseId lease, Duration wait) {
    isAcquiring = true;
    store.transact(acquire.build()).thenAccept(response -> onResponse(response, lease, wait));
  }

  private Duration remainingGap(KvEntry release) {
    Duration wait = timing.handoverGap().minus(decode(release));
    return wait.isNegative() ? Duration.ZERO : wait;
  }

  private void onResponse(TransactionReply response, LeaseId lease, Duration wait) {
    isAcquiring = false;
    if (response instanceof TransactionReply.Committed committed) {
      onAcquired(committed.revision(), lease, wait);
    } else {
      logger.atFine().log("event=duty_not_taken duty=%s reply=\"%s\"", name, response);
    }
  }

  private void onAcquired(Revision revision, LeaseId lease, Duration wait) {
    FencingNumber acquired = FencingNumber.of(revision.value());
    fence = acquired;
    heldLease = lease;
    hasStarted = false;
    long now = timers.nowNanos();
    // A previous incarnation of this process may have acted until just now.
    lastActNanos = startOnThisVm().isPresent() ? Optional.of(now) : Optional.empty();
    earliestActNanos = now + wait.toNanos();
    logger.atInfo().log(
        "event=duty_taken duty=%s fence=%s lease=%s wait_ms=%d",
        name, fence, lease, wait.toMillis());
    timers.after(wait, () -> recordStart(acquired));
    isYielding = !isEligible;
  }

  private boolean isHeldWith(FencingNumber acquired) {
    return acquired.equals(fence) && !isReleased && !isYielding;
  }

  private void recordStart(FencingNumber acquired) {
    if (!isHeldWith(acquired)) {
      return;
    }
    Transaction write =
        Transaction.builder()
            .expect(FleetKeys.leaderLease(name), Revision.of(acquired.value()))
            .put(FleetKeys.start(name), LeadershipStart.of(session.self(), acquired).encode())
            .build();
    store.transact(write).thenAccept(response -> onStartRecorded(acquired, response));
  }

  private void onStartRecorded(FencingNumber acquired, TransactionReply response) {
    if (!isHeldWith(acquired)) {
      return;
    }
    if (response instanceof TransactionReply.Committed) {
      hasStarted = true;
      logger.atInfo().log("event=duty_started duty=%s fence=%s", name, acquired);
    } else {
      logger.atInfo().log(
          "event=duty_start_not_noted duty=%s fence=%s reply=\"%s\"", name, acquired, response);
      timers.after(RETRY_DELAY, () -> recordStart(acquired));
    }
  }

  private void markLost(String reason) {
    logger.atWarning().log("event=duty_lost duty=%s fence=%s reason=\"%s\"", name, fence, reason);
    fence = null;
    heldLease = null;
    isYielding = false;
  }

  /** Drops the lease if its entry was removed or belongs to another holder. */
  @Override
  public void onLeaderChanged(String leaderLease) {
    FencingNumber held = fence;
    if (!leaderLease.equals(name) || held == null) {
      return;
    }
    Optional<KvEntry> leaseHolder = fleet.leaseHolder(name);
    boolean isCurrent =
        leaseHolder.isPresent() && leaseHolder.get().revision().value() <= held.value();
    if (!isCurrent) {
      markLost("the entry was removed or replaced");
    }
  }

  /** Tries to acquire the released lease at once instead of at the next retry. */
  @Override
  public void onLeaderLeaseReleased(String leaderLease) {
    if (leaderLease.equals(name)) {
      tryAcquire();
    }
  }
}
