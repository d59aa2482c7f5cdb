package org.amaranthstream.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Digest of the pool and content of a request. Requests with equal content have equal fingerprints.
 *
 * <p>The sampling seed and the token limit are not included. Immutable and thread safe.
 *
 * @param value 32 hexadecimal digits
 */
public record Fingerprint(String value) {
  private static final int LENGTH_CHARS = 32;
  private static final byte SEPARATOR = 0;

  /**
   * Creates a fingerprint.
   *
   * @throws IllegalArgumentException if {@code value} does not have 32 characters
   */
  public Fingerprint {
    checkArgument(value.length() == LENGTH_CHARS, "fingerprint must have 32 characters: %s", value);
  }

  /** Returns the fingerprint of a generation with {@code prompt} in {@code pool}. */
  public static Fingerprint ofPrompt(String pool, String prompt) {
    return of(hasherFor(pool).putString(prompt, StandardCharsets.UTF_8));
  }

  /** Returns the fingerprint of a call of {@code path} with {@code body} in {@code pool}. */
  public static Fingerprint ofCall(String pool, String path, byte[] body) {
    Hasher hasher = hasherFor(pool).putString(path, StandardCharsets.UTF_8).putByte(SEPARATOR);
    return of(hasher.putBytes(body));
  }

  private static Hasher hasherFor(String pool) {
    return Hashing.sha256().newHasher().putString(pool, StandardCharsets.UTF_8).putByte(SEPARATOR);
  }

  private static Fingerprint of(Hasher hasher) {
    return new Fingerprint(hasher.hash().toString().substring(0, LENGTH_CHARS));
  }

  @Override
  public String toString() {
    return value;
  }
}
