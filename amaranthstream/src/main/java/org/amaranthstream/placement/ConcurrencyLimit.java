package org.amaranthstream.placement;

/** Learned number of requests that one backend server may hold. Called on the decision thread. */
public interface ConcurrencyLimit {

  /** Returns the greatest number of own requests in flight, at least 1. */
  int limit();

  /**
   * Takes the latency of an answer.
   *
   * @param latencyNanos time until the first part of the answer, in nanoseconds
   * @param inFlight own requests in flight when it was sent, itself included
   */
  void onAnswer(long latencyNanos, int inFlight);

  /**
   * Takes what the server reported about itself.
   *
   * @param running requests that it ran
   * @param queued requests that waited in it
   */
  default void onReport(int running, int queued) {}

  /** Takes a refusal by the server, or an answer that did not come in time. */
  void onOverload();

  /** Makes limits for new servers. */
  @FunctionalInterface
  interface Factory {
    /**
     * Returns a limit for a new server.
     *
     * @param slots requests that the server says it can run at once, 0 if not known
     */
    ConcurrencyLimit create(int slots);
  }
}
