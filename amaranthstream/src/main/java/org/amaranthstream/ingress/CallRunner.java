package org.amaranthstream.ingress;

import java.util.Optional;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.ids.CallerId;

/** Runs the work of one call. Called on the decision thread. */
public interface CallRunner {

  /**
   * Runs {@code work}.
   *
   * @param caller who calls; keys of different callers differ
   * @param idempotencyKey the caller's key, if it sent one
   */
  void run(CallerId caller, Optional<String> idempotencyKey, Work work, WorkListener listener);
}
