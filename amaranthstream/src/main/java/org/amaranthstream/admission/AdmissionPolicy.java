package org.amaranthstream.admission;

/** Policy that decides whether to admit a request. Pure: it reads no clock and does no I/O. */
@FunctionalInterface
public interface AdmissionPolicy {

  /** Decides on one request. */
  AdmissionDecision decide(AdmissionInput input);

  /**
   * Returns the time before the deadline at which a request that is still queued is dropped.
   *
   * @param serviceNanos estimated service time of the request, in nanoseconds; 0 if unknown
   */
  default long minSlackNanos(long serviceNanos) {
    return serviceNanos;
  }
}
