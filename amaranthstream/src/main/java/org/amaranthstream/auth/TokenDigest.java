package org.amaranthstream.auth;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * SHA-256 digest of a bearer token or key, by which it is looked up without being kept.
 *
 * <p>{@link #equals} compares in constant time. A lookup in a hash table can reveal at most a part
 * of the digest of a guessed token. Immutable and thread safe.
 */
public final class TokenDigest {
  /** Maximum length of a token in characters; longer tokens are rejected. */
  public static final int MAX_TOKEN_CHARS = 512;

  private static final String SCHEME = "Bearer ";
  private static final int DIGEST_BYTES = 32;

  private final byte[] digest;

  private TokenDigest(byte[] digest) {
    this.digest = digest;
  }

  /**
   * Returns the digest of the UTF-8 form of {@code token}.
   *
   * @throws IllegalArgumentException if {@code token} is empty or too long
   */
  public static TokenDigest of(String token) {
    checkArgument(!token.isEmpty(), "the token is empty");
    checkArgument(
        token.length() <= MAX_TOKEN_CHARS,
        "the token has %s characters, at most %s are allowed",
        token.length(),
        MAX_TOKEN_CHARS);
    return of(token.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the digest of the bytes of a token. */
  public static TokenDigest of(byte[] token) {
    return new TokenDigest(Hashing.sha256().hashBytes(token).asBytes());
  }

  /**
   * Returns the digest of the token that an {@code Authorization} header carries.
   *
   * @param header the value of the header, or null if the request has none
   * @return the digest, or empty if the scheme is not {@code Bearer} or the token is empty or too
   *     long
   */
  public static Optional<TokenDigest> ofBearer(@Nullable String header) {
    if (header == null
        || header.length() > SCHEME.length() + MAX_TOKEN_CHARS
        || !Ascii.equalsIgnoreCase(Ascii.truncate(header, SCHEME.length(), ""), SCHEME)) {
      return Optional.empty();
    }
    String token = CharMatcher.is(' ').trimLeadingFrom(header.substring(SCHEME.length()));
    return token.isEmpty() ? Optional.empty() : Optional.of(of(token));
  }

  /**
   * Returns the digest with the given text, as {@link #toHex} returns it.
   *
   * @throws IllegalArgumentException if it is not the text of a digest
   */
  public static TokenDigest parseHex(String hex) {
    checkArgument(hex.length() == 2 * DIGEST_BYTES, "a digest must have 64 hexadecimal digits");
    return new TokenDigest(BaseEncoding.base16().lowerCase().decode(Ascii.toLowerCase(hex)));
  }

  /** Returns the digest as 64 hexadecimal digits. */
  public String toHex() {
    return HashCode.fromBytes(digest).toString();
  }

  /** Compares the digests in a time that does not depend on their contents. */
  @Override
  public boolean equals(Object other) {
    return other instanceof TokenDigest that && MessageDigest.isEqual(digest, that.digest);
  }

  @Override
  public int hashCode() {
    return HashCode.fromBytes(digest).asInt();
  }

  /** Returns a fixed text that reveals nothing of the token. */
  @Override
  public String toString() {
    return "(digest)";
  }
}
