package org.amaranthstream.dispatch;

import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.membership.BackendServer;

/** Starts attempts on backend servers of the own availability zone. */
public interface BackendTransport {

  /**
   * Starts an attempt. The listener is called on the decision thread.
   *
   * @param offset number of tokens that an earlier attempt already gave, 0 to start anew
   * @param prefix the text of those tokens, empty to start anew
   */
  Attempt start(
      BackendServer server,
      AttemptId id,
      Work work,
      long offset,
      String prefix,
      AttemptListener listener);

  /** An attempt that was started. */
  interface Attempt {
    /** Closes the attempt's stream and asks the server to stop it; no further call is made. */
    void cancel();
  }
}
