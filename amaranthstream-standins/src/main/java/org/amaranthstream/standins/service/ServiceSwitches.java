package org.amaranthstream.standins.service;

import org.amaranthstream.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/** Switches of a plain service. */
final class ServiceSwitches extends FaultSwitches {
  /** A call whose body contains this text crashes the service when it starts to run. */
  @Nullable String poisonMarker;

  /** Whether new calls are refused as not run. */
  boolean drain;

  /** Factor by which the time of a call grows. */
  double slowFactor = 1;

  /** Number of calls that run and whose connection then closes without an answer. */
  int loseAnswers;

  /** Number of answers that end before their declared length. */
  int truncateNext;

  /** Number of answers that name another attempt. */
  int wrongEchoNext;

  /** Number of calls that run and fail with 500. */
  int failNext;
}
