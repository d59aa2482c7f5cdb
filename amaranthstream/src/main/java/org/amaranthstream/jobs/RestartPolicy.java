package org.amaranthstream.jobs;

import java.time.Duration;

/**
 * Decision when an item that waits for a server with the software of its partial text begins anew
 * at a server with other software instead.
 *
 * <p>Made for servers of two software versions, of which one loses servers while the other has free
 * slots. To wait is better if a slot becomes free soon, to begin anew if not, which cannot be
 * foreseen. An item that waits for as long as its text took to generate loses at most twice that
 * time, whatever happens. If no server with that software is registered, the wait is shorter. The
 * methods are pure functions.
 */
final class RestartPolicy {
  private static final Duration TIME_PER_EVENT = Duration.ofMillis(25);

  /** The registrations of all servers are read within this time after the first of them. */
  private static final Duration REGISTRATION_DELAY = Duration.ofMillis(300);

  private RestartPolicy() {}

  /**
   * Returns true if the text should be discarded.
   *
   * @param events the number of events of the text
   * @param hasServer true if a server with the software of the text is available
   * @param blocked the time since the item could have started at a server with other software
   */
  static boolean shouldRestart(long events, boolean hasServer, Duration blocked) {
    Duration invested = TIME_PER_EVENT.multipliedBy(events);
    boolean isWorthMore = invested.compareTo(REGISTRATION_DELAY) > 0;
    Duration patience = !hasServer && isWorthMore ? REGISTRATION_DELAY : invested;
    return blocked.compareTo(patience) >= 0;
  }
}
