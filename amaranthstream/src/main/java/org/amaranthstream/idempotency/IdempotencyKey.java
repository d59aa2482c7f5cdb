package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * A key that a caller sends with a request and with each retry of it.
 *
 * <p>The text is a UUIDv7, or {@code vm/incarnation/UUIDv7} if an entry VM issued the key.
 *
 * @param text the key as sent
 * @param created the creation time, from the timestamp of the UUID
 * @param issuer the incarnation that issued the key, empty if the caller created it
 */
public record IdempotencyKey(String text, Instant created, Optional<Claimant> issuer) {
  private static final int MAX_LENGTH_CHARS = 300;
  private static final int UUID_LENGTH_CHARS = 36;
  private static final int UUID_VERSION = 7;
  private static final int TIMESTAMP_SHIFT = 16;
  private static final long RANDOM_A_MASK = 0xfff;
  private static final long VERSION_BITS = (long) UUID_VERSION << 12;
  private static final long VARIANT_BITS = 1L << 63;
  private static final long RANDOM_B_MASK = (1L << 62) - 1;
  private static final char SEPARATOR = '/';

  /** Creates a key. */
  public IdempotencyKey {
    checkNotNull(text, "text");
    checkNotNull(created, "created");
    checkNotNull(issuer, "issuer");
  }

  /**
   * Parses a key.
   *
   * @throws IllegalArgumentException if {@code text} is not a valid key
   */
  public static IdempotencyKey parse(String text) {
    checkArgument(text.length() <= MAX_LENGTH_CHARS, "key has %s characters", text.length());
    int last = text.lastIndexOf(SEPARATOR);
    Instant created = createdOf(text.substring(last + 1));
    if (last < 0) {
      return new IdempotencyKey(text, created, Optional.empty());
    }
    int first = text.indexOf(SEPARATOR);
    checkArgument(first < last, "key has one slash, an issued key has two");
    Claimant issuer =
        Claimant.of(
            EntryVmId.of(text.substring(0, first)),
            Incarnation.of(text.substring(first + 1, last)));
    return new IdempotencyKey(text, created, Optional.of(issuer));
  }

  /** Returns a new key of {@code issuer} with the random bits of two numbers. */
  static IdempotencyKey issue(Claimant issuer, Instant now, long randomA, long randomB) {
    long most = (now.toEpochMilli() << TIMESTAMP_SHIFT) | VERSION_BITS | (randomA & RANDOM_A_MASK);
    long least = VARIANT_BITS | (randomB & RANDOM_B_MASK);
    String text =
        issuer.vm().value()
            + SEPARATOR
            + issuer.incarnation().value()
            + SEPARATOR
            + new UUID(most, least);
    return new IdempotencyKey(text, Instant.ofEpochMilli(now.toEpochMilli()), Optional.of(issuer));
  }

  private static Instant createdOf(String text) {
    checkArgument(text.length() == UUID_LENGTH_CHARS, "key is not a UUIDv7");
    UUID uuid = UUID.fromString(text);
    checkArgument(uuid.version() == UUID_VERSION, "key is a UUID of version %s", uuid.version());
    return Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT);
  }
}
