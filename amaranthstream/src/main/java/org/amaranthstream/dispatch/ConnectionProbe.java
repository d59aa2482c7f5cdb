package org.amaranthstream.dispatch;

import java.util.function.Consumer;
import org.amaranthstream.membership.BackendServer;

/**
 * Probe that checks over a new connection whether a backend server responds.
 *
 * <p>The result distinguishes a stalled connection from an unresponsive server. It does not change
 * the health of the server by itself. Called on the decision thread.
 */
@FunctionalInterface
public interface ConnectionProbe {

  /**
   * Opens a connection and sends an inexpensive request.
   *
   * @param result called once on the decision thread, with true if the server responded
   */
  void probe(BackendServer server, Consumer<Boolean> result);

  /** Returns a probe that always fails, so that each stalled attempt counts as a server failure. */
  static ConnectionProbe none() {
    return (server, result) -> result.accept(false);
  }
}
