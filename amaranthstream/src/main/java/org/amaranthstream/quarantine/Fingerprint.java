package org.amaranthstream.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;
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

  /** Length of the copies through which a long body is read. */
  private static final int PART_BYTES = 64 * 1024;

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

  /** Returns the fingerprint of a call like {@link #ofCall(String, String, byte[])}. */
  public static Fingerprint ofCall(String pool, String path, Buffer body) {
    Hasher hasher = hasherFor(pool).putString(path, StandardCharsets.UTF_8).putByte(SEPARATOR);
    for (int from = 0; from < body.length(); from += PART_BYTES) {
      hasher.putBytes(body.getBytes(from, Math.min(body.length(), from + PART_BYTES)));
    }
    return of(hasher);
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
