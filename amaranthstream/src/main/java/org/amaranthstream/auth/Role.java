package org.amaranthstream.auth;

/** What the holder of a token may do. */
public enum Role {
  /** Calls classes of work. */
  CALLER,
  /** Submits training steps and pulls their samples. */
  TRAINER,
  /** Uses the administration API. */
  OPERATOR
}
