package org.amaranthstream.ingress;

import java.util.Optional;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;

/** Runs the work of one call. Called on the decision thread. */
public interface CallRunner {

  /**
   * Runs {@code work}.
   *
   * @param idempotencyKey the caller's key, if it sent one
   */
  void run(Optional<String> idempotencyKey, Work work, WorkListener listener);
}
