package org.amaranthstream.once;

/** State of a key in the memory of the incarnation that used it. */
enum LocalState {
  /** The claim is being written. */
  CLAIMING,
  /** The request runs. */
  RUNNING,
  /** The request ended, and its answer is kept. */
  ENDED,
  /** No request runs under the key, and none of its nonces will be used. */
  GIVEN_UP
}
