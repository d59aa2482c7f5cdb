package org.amaranthstream.standins.engine;

import org.amaranthstream.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/** Switches of a model engine. */
final class EngineSwitches extends FaultSwitches {
  /** A request whose prompt contains this text crashes the engine when it starts to run. */
  @Nullable String poisonMarker;

  /** Whether new requests are refused as not run. */
  boolean drain;

  /** Factor by which the token interval grows. */
  double slowFactor = 1;

  /** Number of answers that end without their end marker, half way. */
  int truncateNext;

  /** Number of answers that name another attempt. */
  int wrongEchoNext;

  /** Number of answers whose lines name no version. */
  int omitVersionNext;

  /** Number of answers each of whose lines is sent twice. */
  int duplicateNext;

  /** Number of answers that begin with a line of an earlier attempt. */
  int lateNext;

  /** Number of answers that fail with 500 after they ran. */
  int failNext;

  /** Number of orders that fail with 500. */
  int failSwaps;

  /** Whether running answers make no progress while their connections stay open. */
  boolean stall;
}
