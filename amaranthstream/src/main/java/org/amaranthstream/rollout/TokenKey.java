package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * A secret that signs delivery tokens.
 *
 * <p>Immutable and thread safe. The text form does not show the secret.
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
   * Returns the key called {@code id}.
   *
   * @throws IllegalArgumentException if the secret is shorter than 16 bytes or the id is empty or
   *     longer than 16 characters
   */
  public static TokenKey of(String id, byte[] secret) {
    checkArgument(!id.isEmpty() && id.length() <= MAX_ID_CHARS, "key id: %s", id);
    checkArgument(
        secret.length >= MIN_SECRET_BYTES,
        "secret of key %s has %s bytes, at least %s are needed",
        id,
        secret.length,
        MIN_SECRET_BYTES);
    return new TokenKey(id, Hashing.hmacSha256(secret.clone()));
  }

  String id() {
    return id;
  }

  byte[] sign(byte[] body) {
    return mac.hashBytes(body).asBytes();
  }

  @Override
  public String toString() {
    return "TokenKey{" + id + "}";
  }
}
