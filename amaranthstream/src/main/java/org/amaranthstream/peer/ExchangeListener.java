package org.amaranthstream.peer;

import org.amaranthstream.dispatch.Outcome;

/**
 * Listener for one exchange, on the side that started it. Called on the decision thread. {@link
 * #onEnd} or one of the failures is called exactly once, as the last call, unless the exchange is
 * cancelled.
 */
public interface ExchangeListener {
  /** Receives the next part of the response. */
  void onPart(byte[] part);

  /** Called when the response is complete. */
  void onEnd();

  /** Called when the request did not run: it was not sent, or the peer reported so. */
  void onNotRun(Outcome.NotRun outcome);

  /** Called when the request may have run. */
  void onOutcomeUnknown(Outcome.OutcomeUnknown outcome);
}
