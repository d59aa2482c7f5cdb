package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.GrantedLease;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.RenewalReply;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * The registration of this daemon in the store, under a session lease that it renews.
 *
 * <p>If the lease has expired or the registration was removed, the daemon registers again under a
 * new lease. Not thread safe: used on the thread of its timers.
 */
public final class FleetSession implements FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  static final Duration TTL = Duration.ofMillis(3_000);
  private static final Duration RENEWAL_PERIOD = Duration.ofMillis(900);
  private static final Duration RETRY_DELAY = Duration.ofMillis(400);

  /** The revision that a transaction expects of a key without an entry. */
  private static final Revision NO_ENTRY = Revision.of(0);

  private final TransactionalStore store;
  private final TimerService timers;
  private final LeaseClock clock;
  private final FleetNode self;
  private @Nullable LeaseId lease;
  private LeaseClock.Moment renewedAt;
  private Duration ttl = TTL;
  private boolean isRegistering;
  private boolean isClosed;
  private Runnable onRegistered = () -> {};

  private FleetSession(
      TransactionalStore store, TimerService timers, InstantSource timeOfDay, FleetNode self) {
    this.store = store;
    this.timers = timers;
    this.clock = new LeaseClock(timers, timeOfDay);
    this.self = self;
    this.renewedAt = clock.now();
  }

  /** Returns a session that is not registered; {@link #start} registers it. */
  public static FleetSession create(
      TransactionalStore store, TimerService timers, InstantSource timeOfDay, FleetNode self) {
    return new FleetSession(
        checkNotNull(store, "store"),
        checkNotNull(timers, "timers"),
        checkNotNull(timeOfDay, "timeOfDay"),
        checkNotNull(self, "self"));
  }

  /**
   * Registers this daemon and renews the lease until the session is closed.
   *
   * @param onRegistered called after each registration, including repeated ones
   */
  public void start(Runnable onRegistered) {
    this.onRegistered = onRegistered;
    register();
    timers.every(RENEWAL_PERIOD, this::renew);
  }

  /** Returns the registration of this daemon. */
  public FleetNode self() {
    return self;
  }

  /** Returns the lease, empty while the daemon is not registered. */
  public Optional<LeaseId> lease() {
    return Optional.ofNullable(lease);
  }

  /**
   * Returns the time for which the lease is guaranteed to be valid: zero without a lease, negative
   * if it may have expired. Counted from the time at which the last renewal was sent.
   */
  public Duration remaining() {
    return lease == null ? Duration.ZERO : ttl.minus(clock.since(renewedAt));
  }

  /** Returns the lease while it is guaranteed to be valid, empty otherwise. */
  public Optional<LeaseId> validLease() {
    return remaining().compareTo(Duration.ZERO) > 0 ? lease() : Optional.empty();
  }

  private void register() {
    if (isRegistering || isClosed) {
      return;
    }
    isRegistering = true;
    lease = null;
    LeaseClock.Moment sentAt = clock.now();
    store.grantLease(TTL).thenAccept(result -> onGranted(result, sentAt));
  }

  private void onGranted(Result<GrantedLease> result, LeaseClock.Moment sentAt) {
    if (result instanceof Result.Failure<GrantedLease> failure) {
      retry(failure.error().toString());
      return;
    }
    GrantedLease granted = ((Result.Success<GrantedLease>) result).value();
    write(granted, sentAt, NO_ENTRY);
  }

  /**
   * Writes the registration if the entry still has the revision {@code before}. The write of an
   * earlier attempt, which may be executed late, can therefore not replace that of a later one: its
   * entry would end with the earlier lease, and peers would take this daemon for lost.
   */
  private void write(GrantedLease granted, LeaseClock.Moment sentAt, Revision before) {
    String key = FleetKeys.node(self.vm());
    Transaction registration =
        Transaction.builder().expect(key, before).put(key, self.encode(), granted.id()).build();
    store.transact(registration).thenAccept(reply -> onWritten(reply, granted, sentAt, before));
  }

  private void onWritten(
      TransactionReply reply, GrantedLease granted, LeaseClock.Moment sentAt, Revision before) {
    if (reply instanceof TransactionReply.Committed) {
      onRegistered(granted, sentAt);
    } else if (reply instanceof TransactionReply.Conflict conflict
        && !revisionOf(conflict).equals(before)) {
      write(granted, sentAt, revisionOf(conflict));
    } else {
      retry(reply.toString());
    }
  }

  /** Returns the revision of the entry of an earlier attempt or incarnation, 0 if it has ended. */
  private static Revision revisionOf(TransactionReply.Conflict conflict) {
    return conflict.current().stream().findFirst().map(KvEntry::revision).orElse(NO_ENTRY);
  }

  private void onRegistered(GrantedLease granted, LeaseClock.Moment sentAt) {
    isRegistering = false;
    lease = granted.id();
    ttl = granted.ttl();
    renewedAt = sentAt;
    logger.atInfo().log("event=registered vm=%s lease=%s", self.vm(), granted.id());
    onRegistered.run();
  }

  private void retry(String error) {
    logger.atFine().log("event=registration_failed error=\"%s\"", error);
    isRegistering = false;
    timers.after(RETRY_DELAY, this::register);
  }

  private void renew() {
    LeaseId renewed = lease;
    if (renewed == null || isClosed) {
      return;
    }
    LeaseClock.Moment sentAt = clock.now();
    store.renewLease(renewed).thenAccept(reply -> onRenewed(reply, renewed, sentAt));
  }

  private void onRenewed(RenewalReply reply, LeaseId renewed, LeaseClock.Moment sentAt) {
    if (!renewed.equals(lease)) {
      return;
    }
    if (reply instanceof RenewalReply.Renewed) {
      renewedAt = sentAt;
    } else if (reply instanceof RenewalReply.Ended) {
      logger.atWarning().log("event=lease_ended vm=%s lease=%s", self.vm(), renewed);
      register();
    }
  }

  /** Registers again if the registration was removed although the lease is valid. */
  @Override
  public void onNodesChanged(NodesChange change) {
    if (change.hasLost(self)) {
      logger.atWarning().log("event=registration_removed vm=%s", self.vm());
      register();
    }
  }

  /** Ends the lease, which removes the registration at once instead of after its expiry. */
  public void close() {
    isClosed = true;
    LeaseId ended = lease;
    lease = null;
    if (ended != null) {
      store.endLease(ended);
    }
  }
}
