package org.amaranthstream.auth;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.CallerId;

/**
 * A name that may call, with its role and its token.
 *
 * @param name the name
 * @param role what it may do
 * @param token the bearer token
 */
public record Credential(CallerId name, Role role, Secret token) {

  /** Creates a credential. */
  public Credential {
    checkNotNull(name, "name");
    checkNotNull(role, "role");
    checkNotNull(token, "token");
  }
}
