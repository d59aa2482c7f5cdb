package org.amaranthstream.bench.experiment;

import java.util.Optional;

/**
 * What calls of one class look like and how their answers are judged.
 *
 * @param path path of the call
 * @param body the body of call number {@code n}
 * @param key the idempotency key of call number {@code n}
 * @param judge tells whether an answer is the whole one of call number {@code n}
 * @param deadlineMs time within which an answer counts as in time
 */
record CallSpec(String path, Body body, Key key, Judge judge, int deadlineMs) {

  /** Makes bodies. */
  interface Body {
    String of(long call);
  }

  /** Makes idempotency keys. */
  interface Key {
    Optional<String> of(long call);
  }

  /** Judges answers; negative if wrong, else the number of tokens. */
  interface Judge {
    long tokens(long call, String answer);
  }
}
