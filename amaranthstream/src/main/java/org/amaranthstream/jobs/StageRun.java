package org.amaranthstream.jobs;

/** Work in progress on one stage of an item, such as a reward call. */
public interface StageRun {

  /** Cancels the work without a retry. Its listener is not called any more. */
  void cancel();
}
