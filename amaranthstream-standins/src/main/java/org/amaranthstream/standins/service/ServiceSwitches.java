package org.amaranthstream.standins.service;

import org.amaranthstream.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/** Fault injection switches of a plain service. Counts decrease as the faults are injected. */
final class ServiceSwitches extends FaultSwitches {
  /** A call whose body contains this text crashes the service when it starts to run. */
  @Nullable String poisonMarker;

  /** Whether new calls are rejected as not run. */
  boolean drain;

  /** Multiplier of the time that a call takes. */
  double slowFactor = 1;

  /** Number of calls that run and whose connection is then closed without a response. */
  int loseAnswers;

  /** Number of responses that end before their declared length. */
  int truncateNext;

  /** Number of responses that carry the id of another attempt. */
  int wrongEchoNext;

  /** Number of calls that run and then fail with status 500. */
  int failNext;
}
