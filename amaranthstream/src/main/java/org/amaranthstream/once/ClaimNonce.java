package org.amaranthstream.once;

/**
 * Random number that tells one try to claim a key from any other.
 *
 * @param value the number
 */
public record ClaimNonce(long value) {

  /** Returns the nonce of the given value. */
  public static ClaimNonce of(long value) {
    return new ClaimNonce(value);
  }
}
