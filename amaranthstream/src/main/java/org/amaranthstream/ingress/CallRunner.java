package org.amaranthstream.ingress;

import java.util.Optional;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.ids.CallerId;

/** A runner of the work of calls. Called on the decision thread. */
public interface CallRunner {

  /**
   * Runs {@code work} and passes its response to {@code listener}.
   *
   * @param caller the scope of the key; equal keys of different callers are distinct
   * @param idempotencyKey idempotency key that the caller sent
   */
  void run(CallerId caller, Optional<String> idempotencyKey, Work work, WorkListener listener);
}
