package org.amaranthstream.dispatch;

import org.amaranthstream.ids.RequestId;

/** Runs work on backend servers. Called on the decision thread. */
public interface WorkRunner {

  /**
   * Runs {@code work} and passes its response to {@code listener}. A refusal is passed immediately,
   * possibly before this method returns.
   */
  void submit(Work work, WorkListener listener);

  /** Cancels a request; unknown ids are ignored. */
  void cancel(RequestId id);
}
