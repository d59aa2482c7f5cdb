package org.amaranthstream.bench.experiment;

import java.util.Optional;

/**
 * Description of the calls of one class and of the check of their responses.
 *
 * <p>Calls are numbered from 0 by the client that sends them.
 *
 * @param path the path of the call
 * @param body creates the request body of a call
 * @param key creates the idempotency key of a call
 * @param validator checks that a response is complete and belongs to the call
 * @param deadlineMs time within which a response counts as in time, in ms
 */
record CallSpec(
    String path, BodyFactory body, KeyFactory key, ResponseValidator validator, int deadlineMs) {

  /** Factory of request bodies. */
  interface BodyFactory {
    String create(long call);
  }

  /** Factory of idempotency keys. */
  interface KeyFactory {
    Optional<String> create(long call);
  }

  /** Check of response bodies. */
  interface ResponseValidator {
    /** Returns the number of tokens of a correct response and a negative number otherwise. */
    long countTokens(long call, String response);
  }
}
