package org.amaranthstream.weights;

import org.amaranthstream.ids.WeightVersion;

/** Reply to a {@link LoadOrder}. */
public sealed interface LoadReply {

  /**
   * The server has loaded a version.
   *
   * @param version the version that the server returned
   */
  record Loaded(WeightVersion version) implements LoadReply {}

  /**
   * The server has seen a higher fencing token.
   *
   * @param reason the status and the reason that the server returned
   */
  record Fenced(String reason) implements LoadReply {}

  /** The order was not written, because {@link LoadOrder#mayWrite} returned false. */
  record Withheld() implements LoadReply {}

  /**
   * The order failed, or its response was lost.
   *
   * @param reason the error
   */
  record Failed(String reason) implements LoadReply {}
}
