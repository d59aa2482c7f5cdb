package org.amaranthstream.ring;

/**
 * A single-threaded executor with a bounded queue, dedicated to one kind of work.
 *
 * <p>Tasks run sequentially in the order in which they are offered. If the queue is full, the task
 * is rejected: the queue never grows beyond its bound, and the offering thread never blocks.
 */
public interface Duty {

  /**
   * Adds a task to the queue.
   *
   * @return false if the queue is full and the task is rejected
   */
  boolean offer(Runnable task);
}
