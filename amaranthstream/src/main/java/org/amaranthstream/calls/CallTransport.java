package org.amaranthstream.calls;

import java.time.Duration;
import org.amaranthstream.servers.TrackedServer;

/** Transport that sends requests to backend servers. */
@FunctionalInterface
public interface CallTransport {

  /** Started attempt. */
  interface Attempt {
    /** Cancels the attempt at the server. Its listener is not called any more. */
    void cancel();

    /**
     * Returns false if no byte of the request has been sent, so that a cancelled attempt does not
     * run.
     */
    default boolean isSent() {
      return true;
    }

    /** Pauses or resumes reading of the response. */
    void setPaused(boolean isPaused);
  }

  /**
   * Sends a request to the given incarnation of the server.
   *
   * @param timeLeft the time until the request times out
   */
  Attempt send(
      TrackedServer server, OutboundCall call, Duration timeLeft, AttemptListener listener);
}
