package org.amaranthstream.auth;

import static com.google.common.base.Preconditions.checkArgument;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A secret byte sequence, such as a bearer token or a shared key, that {@link #toString} hides.
 *
 * <p>{@link #equals} runs in a time that does not depend on the contents. Immutable and thread
 * safe.
 */
public final class Secret {
  private final byte[] bytes;

  private Secret(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Returns the secret whose UTF-8 form is {@code text}.
   *
   * @throws IllegalArgumentException if {@code text} is empty
   */
  public static Secret of(String text) {
    checkArgument(!text.isEmpty(), "the secret is empty");
    return new Secret(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy of the bytes. */
  public byte[] bytes() {
    return bytes.clone();
  }

  /** Returns the number of bytes. */
  public int lengthBytes() {
    return bytes.length;
  }

  /** Compares the bytes in a time that does not depend on the contents. */
  @Override
  public boolean equals(Object other) {
    return other instanceof Secret secret && MessageDigest.isEqual(bytes, secret.bytes);
  }

  /** Returns the same value for all secrets, so that a hash code reveals nothing. */
  @Override
  public int hashCode() {
    return Secret.class.hashCode();
  }

  /** Returns a fixed text that does not contain the secret. */
  @Override
  public String toString() {
    return "(secret)";
  }
}
