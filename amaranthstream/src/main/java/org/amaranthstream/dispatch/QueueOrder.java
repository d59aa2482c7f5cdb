package org.amaranthstream.dispatch;

/**
 * The order in which the waiting requests of a pool are sent to servers.
 *
 * <p>Called on the decision thread. Implementations may keep state about how many turns each
 * priority has received.
 */
public interface QueueOrder {

  /**
   * Returns the rank within a priority; the lowest is sent first. The rank does not change while
   * the request waits.
   */
  long rank(QueuedRequest request);

  /**
   * Returns true if the first training request is sent before the first interactive one.
   *
   * @param turn the waiting requests
   */
  boolean isTrainingNext(Turn turn);

  /** Returns the expected share of training in the next turns, 0 if it is not known. */
  default double trainingShare(Turn turn) {
    return 0;
  }

  /**
   * Called after a request was sent while requests of both priorities waited.
   *
   * @param turn the requests that waited
   * @param training true if the training request was sent
   */
  void onSent(Turn turn, boolean training);

  /**
   * A choice between requests of both priorities that wait for the same servers.
   *
   * @param interactive the first interactive request
   * @param training the first training request
   * @param trainingQueued number of waiting training requests
   * @param trainingDrainNanos estimated time in which all slots together complete the waiting
   *     training requests, in nanoseconds
   * @param nowNanos the current monotonic time, in nanoseconds
   */
  record Turn(
      QueuedRequest interactive,
      QueuedRequest training,
      int trainingQueued,
      long trainingDrainNanos,
      long nowNanos) {}

  /** Creates orders, one for each pool. */
  @FunctionalInterface
  interface Factory {
    /** Returns a new order. */
    QueueOrder create();
  }
}
