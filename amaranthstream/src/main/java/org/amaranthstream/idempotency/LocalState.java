package org.amaranthstream.idempotency;

/** The state of a {@link LocalClaim}. */
enum LocalState {
  /** The claim is being written. */
  CLAIMING,
  /** The request is running. */
  RUNNING,
  /** The request ended, and its response is cached. */
  ENDED,
  /** All attempts were abandoned: no request runs under the key or will run under its nonces. */
  GIVEN_UP
}
