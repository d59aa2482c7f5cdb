package org.amaranthstream.calls;

import java.time.Duration;
import org.amaranthstream.servers.TrackedServer;

/** Sends requests to backend servers. */
@FunctionalInterface
public interface CallTransport {

  /** An attempt that was started. */
  interface Attempt {
    /** Ends the attempt at the server; its listener hears nothing more. */
    void cancel();

    /** Stops or continues to read the answer. */
    void setPaused(boolean isPaused);
  }

  /**
   * Sends a request to that incarnation of the server.
   *
   * @param timeLeft the time that the caller still waits
   */
  Attempt send(
      TrackedServer server, OutboundCall call, Duration timeLeft, AttemptListener listener);
}
