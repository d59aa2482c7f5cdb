package org.amaranthstream.jobs;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.amaranthstream.servers.RequestPermits;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Permits of the scheduler for runs at rate-limited servers: at most one for each server, which
 * expires if no run uses it. Must be used on one thread.
 */
final class ItemPermits {
  /** Bounds the requests that follow one another when items arrive after a pause. */
  private static final Duration VALIDITY = Duration.ofSeconds(1);

  private static final Duration PATIENCE = Duration.ofSeconds(1);

  /** The delay before the next call after a denied one, so that waiting items cost few calls. */
  private static final Duration DENIED_DELAY = Duration.ofMillis(500);

  private final RequestPermits permits;
  private final TimerService timers;
  private final Runnable onGranted;

  /** The permits that may be used, each with the timer that ends it. */
  private final Map<TrackedServer, Subscription> granted = new HashMap<>();

  private final Set<TrackedServer> requested = new HashSet<>();

  /**
   * Creates permits.
   *
   * @param onGranted called when a run may start that could not start before
   */
  ItemPermits(RequestPermits permits, TimerService timers, Runnable onGranted) {
    this.permits = permits;
    this.timers = timers;
    this.onGranted = onGranted;
  }

  /** Returns true if a run may start at {@code server} now. */
  boolean mayStart(TrackedServer server) {
    return !server.isLimited() || granted.containsKey(server);
  }

  /** Records that a run starts at {@code server}, which uses up its permit. */
  void onStarted(TrackedServer server) {
    Subscription expiry = granted.remove(server);
    if (expiry != null) {
      expiry.cancel();
    }
  }

  /** Asks for a permit, unless one is requested already. */
  void request(TrackedServer server) {
    if (requested.add(server)) {
      permits.acquire(server, PATIENCE, isGranted -> onAnswer(server, isGranted));
    }
  }

  private void onAnswer(TrackedServer server, boolean isGranted) {
    if (!isGranted) {
      timers.after(DENIED_DELAY, () -> requested.remove(server));
      return;
    }
    requested.remove(server);
    granted.put(server, timers.after(VALIDITY, () -> granted.remove(server)));
    onGranted.run();
  }
}
