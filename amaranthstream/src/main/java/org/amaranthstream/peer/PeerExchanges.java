package org.amaranthstream.peer;

import java.time.Duration;
import org.amaranthstream.ids.EntryVmId;

/**
 * Exchanges with peers: a request, which runs at most once, and a response in parts.
 *
 * <p>Used on the decision thread only.
 */
public interface PeerExchanges {

  /** Returns true if a link to {@code vm} is ready. */
  boolean isReady(EntryVmId vm);

  /** Begins to open a link to {@code vm}, unless there is one. */
  void prepare(EntryVmId vm);

  /**
   * Sends a request to a peer. It waits for a link up to the connect timeout; without one, it fails
   * as not run.
   *
   * @return the exchange
   */
  PeerExchange start(EntryVmId vm, byte[] request, Duration timeLeft, ExchangeListener listener);
}
