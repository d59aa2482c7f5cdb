package org.amaranthstream.placement;

/**
 * Whether one backend server gets work, from the outcomes of its attempts. Called on the decision
 * thread.
 *
 * <p>Only attempts of real requests are reported here: no probes, and no attempts that a caller
 * cancelled.
 */
public interface ServerHealth {

  /** What a server may get now. */
  enum Verdict {
    /** Any work within its limit. */
    HEALTHY,
    /** One request at a time, to find out whether it recovered. */
    TRIAL,
    /** No work. */
    BENCHED
  }

  /** Returns what the server may get at {@code nowNanos}. */
  Verdict verdict(long nowNanos);

  /** Takes the outcome of an attempt. */
  void onOutcome(boolean success, long nowNanos);

  /** Makes trackers for new servers. */
  @FunctionalInterface
  interface Factory {
    /** Returns a tracker for a new server. */
    ServerHealth create();
  }

  /** Returns a tracker that never benches. */
  static ServerHealth always() {
    return new ServerHealth() {
      @Override
      public Verdict verdict(long nowNanos) {
        return Verdict.HEALTHY;
      }

      @Override
      public void onOutcome(boolean success, long nowNanos) {}
    };
  }
}
