package org.amaranthstream.dispatch;

import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.membership.BackendServer;

/** Transport that starts attempts on backend servers in the local availability zone. */
public interface BackendTransport {

  /**
   * Starts an attempt. The listener is called on the decision thread.
   *
   * @param offset number of tokens that earlier attempts delivered; 0 to start from the beginning
   * @param prefix text of those tokens; empty to start from the beginning
   */
  Attempt start(
      BackendServer server,
      AttemptId id,
      Work work,
      long offset,
      String prefix,
      AttemptListener listener);

  /** Handle of a started attempt. */
  interface Attempt {
    /**
     * Closes the attempt's stream and requests the server to cancel it. The listener is not called
     * afterwards.
     */
    void cancel();
  }
}
