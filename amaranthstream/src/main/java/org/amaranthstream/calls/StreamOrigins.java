package org.amaranthstream.calls;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Registry of the servers that began callers' streams.
 *
 * <p>A caller may resume its stream at any daemon, also after the daemon that began it is gone. The
 * stream may go on only at a server with the same software. Must be used on the thread of the
 * daemon's timers.
 */
public interface StreamOrigins {

  /** Records where the stream of a request begins. */
  void record(String request, StreamOrigin origin);

  /**
   * Looks up where the stream of a request began.
   *
   * @param timeout the longest time to wait for other daemons
   * @return a future that never completes exceptionally, with an empty value if no daemon that
   *     responds has a record of the stream
   */
  CompletableFuture<Optional<StreamOrigin>> find(String request, Duration timeout);
}
