package org.amaranthstream.duties;

/** Outcome of a call to the platform's API. */
public enum ApiReply {
  /** The platform has accepted the call. */
  ACCEPTED,
  /** The platform rejects this call, also when it is repeated. */
  REJECTED,
  /** The platform cannot do what the call asks for at the moment. */
  UNAVAILABLE,
  /** The platform did not take the call now: too many calls, or an error of its own. */
  LATER,
  /** No connection could be opened. */
  NOT_SENT,
  /** The call was not sent because this daemon does not hold the lease any more. */
  NOT_HOLDER,
  /** There was no response, so the platform may have taken the call. */
  UNKNOWN;

  /** Returns true if the daemon may have lost its way to the platform's API. */
  public boolean isUnreached() {
    return this == NOT_SENT || this == UNKNOWN;
  }
}
