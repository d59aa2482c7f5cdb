package org.amaranthstream.placement;

/**
 * Health of one backend server, derived from the outcomes of its attempts. Called on the decision
 * thread.
 *
 * <p>Only attempts of real requests are recorded: no probes, and no attempts that a caller
 * cancelled.
 */
public interface ServerHealth {

  /** Health state of a server. */
  enum State {
    /** The server gets requests up to its limit. */
    HEALTHY,
    /** The server gets one request at a time, to test whether it has recovered. */
    TRIAL,
    /** The server gets no requests. */
    EJECTED
  }

  /** Returns the state at {@code nowNanos}. */
  State stateAt(long nowNanos);

  /** Records the outcome of an attempt. */
  void onOutcome(boolean success, long nowNanos);

  /** Factory of health trackers for new servers. */
  @FunctionalInterface
  interface Factory {
    /** Returns a tracker for a new server. */
    ServerHealth create();
  }

  /** Returns a tracker that never ejects the server. */
  static ServerHealth alwaysHealthy() {
    return new ServerHealth() {
      @Override
      public State stateAt(long nowNanos) {
        return State.HEALTHY;
      }

      @Override
      public void onOutcome(boolean success, long nowNanos) {}
    };
  }
}
