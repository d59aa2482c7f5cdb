package org.amaranthstream.idempotency;

/**
 * A random number that identifies one attempt to claim a key.
 *
 * @param value the number
 */
public record ClaimNonce(long value) {

  /** Returns a nonce with the given value. */
  public static ClaimNonce of(long value) {
    return new ClaimNonce(value);
  }
}
