package org.amaranthstream.admission;

/** Decides whether a request enters. Pure: no clock, no input or output. */
@FunctionalInterface
public interface AdmissionPolicy {

  /** Decides on one request. */
  AdmissionDecision decide(AdmissionInput input);
}
