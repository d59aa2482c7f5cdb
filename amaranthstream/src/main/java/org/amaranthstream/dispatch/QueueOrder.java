package org.amaranthstream.dispatch;

/**
 * The order in which waiting requests of a pool go to servers.
 *
 * <p>Called on the decision thread. Implementations may keep what earlier turns gave to each
 * priority.
 */
public interface QueueOrder {

  /** Returns the rank within a priority; it does not change while the request waits. */
  long rank(QueuedRequest request);

  /**
   * Returns true if the first training request goes before the first interactive one.
   *
   * @param turn what waits
   */
  boolean isTrainingNext(Turn turn);

  /** Returns the expected share of training in the coming turns, 0 if it cannot be told. */
  default double trainingShare(Turn turn) {
    return 0;
  }

  /**
   * Called when a request of each priority waited and one of them was sent.
   *
   * @param turn what waited
   * @param training true if the training request was sent
   */
  void onSent(Turn turn, boolean training);

  /**
   * Requests of both priorities that wait for the same servers.
   *
   * @param interactive the first interactive request
   * @param training the first training request
   * @param trainingQueued training requests that wait
   * @param trainingDrainNanos estimated time in which all slots together would drain them, in
   *     nanoseconds
   * @param nowNanos the monotonic time
   */
  record Turn(
      QueuedRequest interactive,
      QueuedRequest training,
      int trainingQueued,
      long trainingDrainNanos,
      long nowNanos) {}

  /** Makes orders, one for each pool. */
  @FunctionalInterface
  interface Factory {
    /** Returns a new order. */
    QueueOrder create();
  }
}
