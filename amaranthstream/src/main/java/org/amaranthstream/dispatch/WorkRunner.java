package org.amaranthstream.dispatch;

import org.amaranthstream.ids.RequestId;

/** Runs work on backend servers. Called on the decision thread. */
public interface WorkRunner {

  /**
   * Runs {@code work} and gives its answer to {@code listener}; a refusal is given at once, maybe
   * before this method returns.
   */
  void submit(Work work, WorkListener listener);

  /** Cancels a request that is not wanted any more; unknown ids are ignored. */
  void cancel(RequestId id);
}
