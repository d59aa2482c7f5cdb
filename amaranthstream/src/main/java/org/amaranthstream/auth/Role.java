package org.amaranthstream.auth;

/** The part of the API that the holder of a token may use. */
public enum Role {
  /** May send calls to the classes of work. */
  CALLER,
  /** May submit training steps, pull their samples and announce versions, and call as a caller. */
  TRAINER,
  /** May use the administration API. */
  OPERATOR
}
