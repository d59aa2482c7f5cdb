package org.amaranthstream.weights;

import org.amaranthstream.ids.WeightVersion;

/** Answer to a {@link LoadOrder}. */
public sealed interface LoadReply {

  /**
   * The server has a version loaded.
   *
   * @param version the version that it states
   */
  record Loaded(WeightVersion version) implements LoadReply {}

  /**
   * The server has seen a later fencing number.
   *
   * @param reason what it said
   */
  record Fenced(String reason) implements LoadReply {}

  /** The order was not written, since its guard forbade it. */
  record Withheld() implements LoadReply {}

  /**
   * The order failed, or its answer was lost.
   *
   * @param reason what was seen
   */
  record Failed(String reason) implements LoadReply {}
}
