package org.amaranthstream.auth;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A lookup of credentials by bearer token.
 *
 * <p>The token is looked up by its {@link TokenDigest}, so the duration of a lookup reveals nothing
 * of the known tokens. Tokens longer than {@link #MAX_TOKEN_CHARS} are rejected before they are
 * hashed. Immutable and thread safe.
 */
public final class TokenVerifier {
  /** Maximum length of a token in characters; longer tokens are rejected. */
  public static final int MAX_TOKEN_CHARS = TokenDigest.MAX_TOKEN_CHARS;

  private final ImmutableMap<TokenDigest, Credential> credentials;

  private TokenVerifier(ImmutableMap<TokenDigest, Credential> credentials) {
    this.credentials = credentials;
  }

  /** Returns a verifier of {@code credentials}; of several with one token, the last is kept. */
  public static TokenVerifier of(Collection<Credential> credentials) {
    ImmutableMap.Builder<TokenDigest, Credential> byDigest = ImmutableMap.builder();
    credentials.forEach(
        credential -> byDigest.put(TokenDigest.of(credential.token().bytes()), credential));
    return new TokenVerifier(byDigest.buildKeepingLast());
  }

  /**
   * Returns the credential whose token an {@code Authorization} header carries.
   *
   * @param header the value of the header, or null if the request has none
   * @return the credential, or empty if the scheme is not {@code Bearer} or the token is unknown or
   *     too long
   */
  public Optional<Credential> verify(@Nullable String header) {
    return TokenDigest.ofBearer(header).map(credentials::get);
  }
}
