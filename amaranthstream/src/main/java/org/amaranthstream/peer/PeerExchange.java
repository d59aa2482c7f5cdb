package org.amaranthstream.peer;

/**
 * Exchange with a peer that has been started.
 *
 * <p>Used on the decision thread only.
 */
public interface PeerExchange {

  /** Cancels the exchange. Its listener is not called any more. */
  void cancel();

  /**
   * Asks the peer to pause or resume the parts of the response. Parts that are on their way still
   * arrive. Has no effect on a response that has ended.
   */
  void setPaused(boolean isPaused);
}
