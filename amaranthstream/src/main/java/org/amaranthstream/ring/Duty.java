package org.amaranthstream.ring;

/**
 * A thread with one job, fed by a bounded ring of tasks.
 *
 * <p>Tasks of a duty run one after another in the order offered. A full ring is a refusal, never an
 * unbounded queue and never a blocked caller.
 */
public interface Duty {

  /**
   * Offers a task to the duty's ring.
   *
   * @return false if the ring is full and the task was not taken
   */
  boolean offer(Runnable task);
}
