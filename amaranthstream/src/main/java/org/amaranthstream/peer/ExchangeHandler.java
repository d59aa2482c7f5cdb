package org.amaranthstream.peer;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Handler of the exchanges that peers start. Called on the decision thread. */
@FunctionalInterface
public interface ExchangeHandler {
  /** Handler that rejects all exchanges. */
  ExchangeHandler REJECTING =
      (from, request, timeLeft, responder) -> {
        ErrorDetail error =
            ErrorDetail.of(ResultCode.NOT_RUN_NO_BACKEND, "this entry VM accepts no exchanges");
        responder.fail(new Outcome.NotRun(error, Optional.empty()));
        return () -> {};
      };

  /**
   * Handles a request. It is received at most once.
   *
   * @param timeLeft the time after which the sender no longer waits
   * @param responder receives the response, possibly before this method returns
   * @return a task that cancels the request, run if the sender cancels it or is gone
   */
  Runnable onRequest(LocalVm from, byte[] request, Duration timeLeft, ExchangeResponder responder);
}
