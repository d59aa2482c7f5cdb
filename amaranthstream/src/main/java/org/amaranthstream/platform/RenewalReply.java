package org.amaranthstream.platform;

import org.amaranthstream.result.ErrorDetail;

/** How the renewal of a lease ended. */
public sealed interface RenewalReply {

  /** The lease runs anew from the arrival of the call. */
  record Renewed() implements RenewalReply {}

  /** The lease has ended. */
  record Ended() implements RenewalReply {}

  /**
   * Whether the lease was renewed is not known.
   *
   * @param error what was seen
   */
  record Failed(ErrorDetail error) implements RenewalReply {}
}
