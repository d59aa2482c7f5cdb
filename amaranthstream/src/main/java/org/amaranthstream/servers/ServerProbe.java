package org.amaranthstream.servers;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Probe that shows whether this process reaches a server. */
@FunctionalInterface
public interface ServerProbe {
  /**
   * Opens a new connection to a server, since open ones may work while new ones are refused.
   *
   * @return a future that never completes exceptionally: true if the connection is open within
   *     {@code timeout}
   */
  CompletableFuture<Boolean> connects(TrackedServer server, Duration timeout);
}
