package org.amaranthstream.auth;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A lookup of credentials by bearer token.
 *
 * <p>The token is hashed once and its hash is compared with every known hash in constant time, so
 * the duration of a lookup reveals neither whether the token matched nor which credential it
 * matched. Tokens longer than {@link #MAX_TOKEN_CHARS} are rejected before they are hashed.
 * Immutable and thread safe.
 */
public final class TokenVerifier {
  /** Maximum length of a token in characters; longer tokens are rejected. */
  public static final int MAX_TOKEN_CHARS = 512;

  private static final String SCHEME = "Bearer ";

  private final ImmutableList<HashedCredential> credentials;

  private TokenVerifier(ImmutableList<HashedCredential> credentials) {
    this.credentials = credentials;
  }

  /** Returns a verifier that accepts the tokens of {@code credentials}. */
  public static TokenVerifier of(Collection<Credential> credentials) {
    return new TokenVerifier(
        credentials.stream().map(HashedCredential::of).collect(ImmutableList.toImmutableList()));
  }

  /**
   * Returns the credential whose token an {@code Authorization} header carries.
   *
   * @param header the value of the header, or null if the request has none
   * @return the credential, or empty if the scheme is not {@code Bearer} or the token is unknown or
   *     too long
   */
  public Optional<Credential> verify(@Nullable String header) {
    if (header == null || header.length() > SCHEME.length() + MAX_TOKEN_CHARS) {
      return Optional.empty();
    }
    if (!Ascii.equalsIgnoreCase(Ascii.truncate(header, SCHEME.length(), ""), SCHEME)) {
      return Optional.empty();
    }
    return find(header.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8));
  }

  private Optional<Credential> find(byte[] token) {
    byte[] hash = hash(token);
    Optional<Credential> found = Optional.empty();
    for (HashedCredential candidate : credentials) {
      if (MessageDigest.isEqual(candidate.hash, hash)) {
        found = Optional.of(candidate.credential);
      }
    }
    return found;
  }

  private static byte[] hash(byte[] token) {
    return Hashing.sha256().hashBytes(token).asBytes();
  }

  private static final class HashedCredential {
    private final Credential credential;
    private final byte[] hash;

    private HashedCredential(Credential credential, byte[] hash) {
      this.credential = credential;
      this.hash = hash;
    }

    private static HashedCredential of(Credential credential) {
      return new HashedCredential(credential, TokenVerifier.hash(credential.token().bytes()));
    }
  }
}
