package org.amaranthstream.standins.engine;

import org.amaranthstream.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/** Fault injection switches of a model engine. Counts decrease as the faults are injected. */
final class EngineSwitches extends FaultSwitches {
  /** A request whose prompt contains this text crashes the engine when it starts to run. */
  @Nullable String poisonMarker;

  /** Whether new requests are rejected as not run. */
  boolean drain;

  /** Multiplier of the token interval. */
  double slowFactor = 1;

  /** Number of responses truncated half way, without an end marker. */
  int truncateNext;

  /** Number of responses that carry the id of another attempt. */
  int wrongEchoNext;

  /** Number of responses whose lines carry no weight version. */
  int omitVersionNext;

  /** Number of responses in which each line is sent twice. */
  int duplicateNext;

  /** Number of responses that begin with a line of an earlier attempt. */
  int lateNext;

  /** Number of requests that fail with status 500 after they started to run. */
  int failNext;

  /** Number of orders whose weight swap fails with status 500. */
  int failSwaps;

  /** Whether running requests make no progress while their connections stay open. */
  boolean stall;
}
