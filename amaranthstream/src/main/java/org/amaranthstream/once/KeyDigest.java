package org.amaranthstream.once;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.WorkClassId;

/**
 * Digest of caller, class of work and idempotency key. Immutable and thread safe.
 *
 * <p>The caller is part of it, so that no caller can touch the claims of another.
 */
public final class KeyDigest {
  static final int LENGTH_BYTES = 16;

  private final byte[] bytes;

  private KeyDigest(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns the digest of a key of {@code caller} for {@code workClass}. */
  public static KeyDigest of(CallerId caller, WorkClassId workClass, IdempotencyKey key) {
    Hasher hasher = Hashing.sha256().newHasher();
    putText(hasher, caller.value());
    putText(hasher, workClass.value());
    putText(hasher, key.text());
    return new KeyDigest(Arrays.copyOf(hasher.hash().asBytes(), LENGTH_BYTES));
  }

  /**
   * Returns the digest of the given bytes.
   *
   * @throws IllegalArgumentException if it does not have 16 bytes
   */
  public static KeyDigest ofBytes(byte[] bytes) {
    checkArgument(bytes.length == LENGTH_BYTES, "digest has %s bytes", bytes.length);
    return new KeyDigest(bytes.clone());
  }

  /** Returns a copy of the bytes. */
  public byte[] toBytes() {
    return bytes.clone();
  }

  /** Returns the shard of {@code shards} that holds the key's claim. */
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
