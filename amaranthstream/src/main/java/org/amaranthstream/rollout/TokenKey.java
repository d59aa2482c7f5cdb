package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * A key that signs delivery tokens.
 *
 * <p>Immutable and thread safe. {@link #toString} omits the secret.
 */
public final class TokenKey {
  private static final int MIN_SECRET_BYTES = 16;
  private static final int MAX_ID_CHARS = 16;

  private final String id;
  private final HashFunction mac;

  private TokenKey(String id, HashFunction mac) {
    this.id = id;
    this.mac = mac;
  }

  /**
   * Returns the key with the name {@code id}.
   *
   * @throws IllegalArgumentException if the secret is shorter than 16 bytes or the id is empty or
   *     longer than 16 characters
   */
  public static TokenKey of(String id, byte[] secret) {
    checkArgument(
        !id.isEmpty() && id.length() <= MAX_ID_CHARS, "key id is empty or too long: %s", id);
    checkArgument(
        secret.length >= MIN_SECRET_BYTES,
        "secret of key %s has %s bytes, but at least %s are required",
        id,
        secret.length,
        MIN_SECRET_BYTES);
    return new TokenKey(id, Hashing.hmacSha256(secret.clone()));
  }

  String id() {
    return id;
  }

  /** Returns the HMAC-SHA256 of {@code body}. */
  byte[] sign(byte[] body) {
    return mac.hashBytes(body).asBytes();
  }

  @Override
  public String toString() {
    return "TokenKey{" + id + "}";
  }
}
