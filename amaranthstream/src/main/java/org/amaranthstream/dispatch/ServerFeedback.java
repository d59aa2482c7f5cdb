package org.amaranthstream.dispatch;

import org.amaranthstream.membership.BackendServer;

/**
 * Receiver of observations that attempts make about backend servers. Called on the decision thread.
 */
public interface ServerFeedback {

  /** Called when {@code server} rejected a request because it is draining. */
  void onDraining(BackendServer server);

  /** Returns a receiver that does nothing. */
  static ServerFeedback none() {
    return server -> {};
  }
}
