package org.amaranthstream.admission;

/** Decides whether a request enters. Pure: no clock, no input or output. */
@FunctionalInterface
public interface AdmissionPolicy {

  /** Decides on one request. */
  AdmissionDecision decide(AdmissionInput input);

  /**
   * Returns the time to the deadline at which a request that still waits is given up.
   *
   * @param serviceNanos expected time of its answer, in nanoseconds, 0 if not known
   */
  default long leastSlackNanos(long serviceNanos) {
    return serviceNanos;
  }
}
