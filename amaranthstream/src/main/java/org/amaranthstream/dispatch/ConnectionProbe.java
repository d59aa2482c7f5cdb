package org.amaranthstream.dispatch;

import java.util.function.Consumer;
import org.amaranthstream.membership.BackendServer;

/**
 * Asks a backend server over a fresh connection whether it answers.
 *
 * <p>It tells a connection that went silent from a server that did. Its result never counts for or
 * against the health of a server by itself. Called on the decision thread.
 */
@FunctionalInterface
public interface ConnectionProbe {

  /**
   * Opens a connection and asks for anything cheap.
   *
   * @param result is called once on the decision thread, with true if the server answered
   */
  void probe(BackendServer server, Consumer<Boolean> result);

  /** Returns a probe that has no way to ask, so that silence is held against the server. */
  static ConnectionProbe none() {
    return (server, result) -> result.accept(false);
  }
}
