package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.WorkClassId;

/**
 * A digest of caller, work class and idempotency key. Immutable and thread safe.
 *
 * <p>The digest includes the caller, so that the keys of two callers never collide.
 */
public final class KeyDigest {
  static final int LENGTH_BYTES = 16;

  private final byte[] bytes;

  private KeyDigest(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns the digest of a key that {@code caller} sent for {@code workClass}. */
  public static KeyDigest of(CallerId caller, WorkClassId workClass, IdempotencyKey key) {
    Hasher hasher = Hashing.sha256().newHasher();
    putText(hasher, caller.value());
    putText(hasher, workClass.value());
    putText(hasher, key.text());
    return new KeyDigest(Arrays.copyOf(hasher.hash().asBytes(), LENGTH_BYTES));
  }

  /**
   * Returns the digest with the given bytes.
   *
   * @throws IllegalArgumentException if {@code bytes} does not have 16 bytes
   */
  public static KeyDigest ofBytes(byte[] bytes) {
    checkArgument(bytes.length == LENGTH_BYTES, "digest has %s bytes, expected 16", bytes.length);
    return new KeyDigest(bytes.clone());
  }

  /** Returns a copy of the bytes. */
  public byte[] toBytes() {
    return bytes.clone();
  }

  /** Returns the number of the shard with the claim of this key, from 0 to {@code shards} - 1. */
  int shard(int shards) {
    return Math.floorMod(Arrays.hashCode(bytes), shards);
  }

  private static void putText(Hasher hasher, String text) {
    byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
    hasher.putInt(encoded.length).putBytes(encoded);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof KeyDigest digest && Arrays.equals(bytes, digest.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return BaseEncoding.base16().lowerCase().encode(bytes);
  }
}
