package org.amaranthstream.jobs;

import org.amaranthstream.servers.TrackedServer;

/** Transport that runs items at backend servers. */
@FunctionalInterface
public interface ItemTransport {

  /** Started run of an item. */
  @FunctionalInterface
  interface Run {
    /** Cancels the run at the server. Its listener is not called any more. */
    void cancel();
  }

  /** Starts a run at the given incarnation of the server. */
  Run start(TrackedServer server, ItemRequest request, ItemListener listener);
}
