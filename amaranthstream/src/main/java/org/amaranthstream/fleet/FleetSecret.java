package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.function.Consumer;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.time.TimerService;

/**
 * The shared key with which daemons authenticate to each other. The first daemon generates it and
 * writes it to the store, to which only daemons and the operator have access.
 *
 * <p>Not thread safe: used on the thread of its timers.
 */
public final class FleetSecret implements FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int KEY_BYTES = 32;
  private static final Duration RETRY_DELAY = Duration.ofMillis(700);

  private final TransactionalStore store;
  private final TimerService timers;
  private final Consumer<byte[]> onKnown;
  private boolean isKnown;

  private FleetSecret(TransactionalStore store, TimerService timers, Consumer<byte[]> onKnown) {
    this.store = store;
    this.timers = timers;
    this.onKnown = onKnown;
  }

  /** Returns a secret that calls {@code onKnown} once, with the key from the store. */
  public static FleetSecret create(
      TransactionalStore store, TimerService timers, Fleet fleet, Consumer<byte[]> onKnown) {
    FleetSecret secret =
        new FleetSecret(
            checkNotNull(store, "store"),
            checkNotNull(timers, "timers"),
            checkNotNull(onKnown, "onKnown"));
    fleet.addListener(secret);
    return secret;
  }

  @Override
  public void onSecret(byte[] key) {
    if (!isKnown) {
      isKnown = true;
      onKnown.accept(key);
    }
  }

  @Override
  public void onCaughtUp() {
    if (isKnown) {
      return;
    }
    byte[] key = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(key);
    Transaction write =
        Transaction.builder().expectAbsent(FleetKeys.SECRET).put(FleetKeys.SECRET, key).build();
    store
        .transact(write)
        .thenAccept(reply -> logger.atInfo().log("event=secret_proposed reply=%s", reply));
    timers.after(RETRY_DELAY, this::onCaughtUp);
  }
}
