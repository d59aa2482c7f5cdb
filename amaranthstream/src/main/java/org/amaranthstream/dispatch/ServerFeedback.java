package org.amaranthstream.dispatch;

import org.amaranthstream.membership.BackendServer;

/** What requests show about backend servers, for membership. Called on the decision thread. */
public interface ServerFeedback {

  /** The server answered that it leaves. */
  void onDraining(BackendServer server);

  /** Returns a receiver that does nothing. */
  static ServerFeedback none() {
    return server -> {};
  }
}
