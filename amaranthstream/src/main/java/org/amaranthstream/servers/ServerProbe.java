package org.amaranthstream.servers;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Probe that shows whether this process reaches a server. */
@FunctionalInterface
public interface ServerProbe {
  /**
   * Sends a request that needs no slot.
   *
   * @return a future that never completes exceptionally: true if the server sends any response
   *     within {@code timeout}
   */
  CompletableFuture<Boolean> responds(TrackedServer server, Duration timeout);
}
