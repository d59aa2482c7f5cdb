package org.amaranthstream.placement;

/**
 * Limit of the requests that this daemon may have in flight on one backend server. Called on the
 * decision thread.
 */
public interface ConcurrencyLimit {

  /** Returns the maximum number of requests of this daemon in flight, at least 1. */
  int limit();

  /**
   * Records the latency of a response.
   *
   * @param latencyNanos time until the first part of the response, in nanoseconds
   * @param inFlight requests of this daemon in flight when the request was sent, including it
   */
  void onResponse(long latencyNanos, int inFlight);

  /**
   * Records a load report of the server.
   *
   * @param running number of running requests
   * @param queued number of requests that wait in the server
   */
  default void onReport(int running, int queued) {}

  /** Records that the server rejected a request, or that a response timed out. */
  void onOverload();

  /** Factory of limits for new servers. */
  @FunctionalInterface
  interface Factory {
    /**
     * Returns a limit for a new server.
     *
     * @param slots number of requests that the server can run at once, 0 if unknown
     */
    ConcurrencyLimit create(int slots);
  }
}
