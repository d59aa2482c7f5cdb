package org.amaranthstream.auth;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.CallerId;

/**
 * The bearer token of a named user of the API, with the role that the token grants.
 *
 * @param name the name of the caller, trainer or operator
 * @param role the role, which decides which calls are allowed
 * @param token the bearer token
 */
public record Credential(CallerId name, Role role, Secret token) {

  /** Creates a credential; no component may be null. */
  public Credential {
    checkNotNull(name, "name");
    checkNotNull(role, "role");
    checkNotNull(token, "token");
  }
}
