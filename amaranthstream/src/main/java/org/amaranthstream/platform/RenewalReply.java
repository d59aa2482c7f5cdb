package org.amaranthstream.platform;

import org.amaranthstream.result.ErrorDetail;

/** The outcome of a lease renewal. */
public sealed interface RenewalReply {

  /** The lease was renewed; its time to live counts from the arrival of the call. */
  record Renewed() implements RenewalReply {}

  /** The lease has expired or was ended. */
  record Ended() implements RenewalReply {}

  /**
   * The call failed; the lease may or may not have been renewed.
   *
   * @param error why the call failed
   */
  record Failed(ErrorDetail error) implements RenewalReply {}
}
