package org.amaranthstream.jobs;

/** One run of the scheduler over the items of one job. Not thread safe. */
interface JobPass {
  /**
   * Starts the next item.
   *
   * @return false if no other item can start now
   */
  boolean startNext();

  /** Called once no item can start: requests what they need, or moves a run. */
  void finish();
}
