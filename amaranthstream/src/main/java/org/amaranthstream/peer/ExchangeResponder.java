package org.amaranthstream.peer;

import org.amaranthstream.dispatch.Outcome;

/** Receiver of the response to one exchange, on the side that handles it. */
public interface ExchangeResponder {
  /**
   * Sends a part of the response.
   *
   * @return false if it cannot be sent; the exchange has failed then and must be cancelled
   */
  boolean sendPart(byte[] part);

  /** Returns true while the peer asks for no further parts. */
  boolean isPaused();

  /** Registers a task to run once the peer asks for further parts. */
  void onResumed(Runnable task);

  /** Ends a response that is complete. */
  void end();

  /** Ends an exchange whose request did not run. */
  void fail(Outcome.NotRun outcome);

  /** Ends an exchange whose request may have run. */
  void fail(Outcome.OutcomeUnknown outcome);
}
