package org.amaranthstream.dispatch;

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

  /**
   * Creates a fingerprint.
   *
   * @throws IllegalArgumentException if {@code value} does not have 32 characters
   */
  public Fingerprint {
    checkArgument(value.length() == LENGTH_CHARS, "fingerprint must have 32 characters: %s", value);
  }

  /** Returns the fingerprint of the pool and payload of {@code work}. */
  public static Fingerprint of(Work work) {
    Hasher hasher = Hashing.sha256().newHasher();
    hasher.putString(work.pool().value(), StandardCharsets.UTF_8).putByte((byte) 0);
    if (work.payload() instanceof Payload.Generate generate) {
      hasher.putString(generate.prompt(), StandardCharsets.UTF_8);
    } else {
      Payload.Call call = (Payload.Call) work.payload();
      hasher.putString(call.path(), StandardCharsets.UTF_8).putByte((byte) 0);
      hasher.putBytes(call.body());
    }
    return new Fingerprint(hasher.hash().toString().substring(0, LENGTH_CHARS));
  }

  @Override
  public String toString() {
    return value;
  }
}
