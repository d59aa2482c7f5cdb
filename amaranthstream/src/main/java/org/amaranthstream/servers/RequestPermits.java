package org.amaranthstream.servers;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Source of permits for requests to servers that limit the rate of requests from all daemons
 * together.
 *
 * <p>Must be used on the thread of the daemon's timers, on which it calls back.
 */
public interface RequestPermits {

  /**
   * Asks for a permit for one request to {@code server}, which must have a limit.
   *
   * @param patience the longest time to wait for the permit
   * @param listener called once, with true if the request may be sent now, or with false if it has
   *     to go elsewhere
   */
  void acquire(TrackedServer server, Duration patience, Consumer<Boolean> listener);
}
