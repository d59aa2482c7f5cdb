package org.amaranthstream.fleet;

import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** A runner that rejects work from peers: daemons that reach all servers directly never forward. */
enum NoForwardedWork implements WorkRunner {
  INSTANCE;

  @Override
  public void submit(Work work, WorkListener listener) {
    ErrorDetail error =
        ErrorDetail.of(ResultCode.NOT_RUN_NO_BACKEND, "this daemon does not accept forwarded work");
    listener.onOutcome(new Outcome.NotRun(error, Optional.empty()));
  }

  @Override
  public void cancel(RequestId id) {}
}
