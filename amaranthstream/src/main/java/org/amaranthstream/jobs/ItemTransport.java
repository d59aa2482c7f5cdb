package org.amaranthstream.jobs;

import org.amaranthstream.servers.TrackedServer;

/** Runs items at backend servers. */
@FunctionalInterface
public interface ItemTransport {

  /** A run that was started. */
  @FunctionalInterface
  interface Run {
    /** Ends the run at the server; its listener hears nothing more. */
    void cancel();
  }

  /** Starts a run at that incarnation of the server. */
  Run start(TrackedServer server, ItemRequest request, ItemListener listener);
}
