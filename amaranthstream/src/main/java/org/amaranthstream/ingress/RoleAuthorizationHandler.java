package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.amaranthstream.auth.Credential;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * A handler that passes on only requests whose bearer token has one of the allowed roles.
 *
 * <p>Other requests get an error: 401 without a valid token, 403 with the token of another role.
 * Thread safe.
 */
public final class RoleAuthorizationHandler implements Handler<RoutingContext> {
  private static final String CREDENTIAL = "credential";

  private final TokenVerifier verifier;
  private final ImmutableSet<Role> allowed;

  private RoleAuthorizationHandler(TokenVerifier verifier, ImmutableSet<Role> allowed) {
    this.verifier = checkNotNull(verifier, "verifier");
    this.allowed = allowed;
  }

  /** Returns a handler that passes on requests of the {@code allowed} roles. */
  public static RoleAuthorizationHandler of(TokenVerifier verifier, Role... allowed) {
    return new RoleAuthorizationHandler(verifier, ImmutableSet.copyOf(allowed));
  }

  @Override
  public void handle(RoutingContext routing) {
    Optional<Credential> credential = verifier.verify(routing.request().getHeader("Authorization"));
    if (credential.isEmpty()) {
      reject(routing, ResultCode.UNAUTHENTICATED, "no valid bearer token");
    } else if (!allowed.contains(credential.get().role())) {
      String message = "role " + credential.get().role() + " is not allowed to call this path";
      reject(routing, ResultCode.FORBIDDEN, message);
    } else {
      routing.put(CREDENTIAL, credential.get());
      routing.next();
    }
  }

  /** Returns the credential of a request that this handler has passed on. */
  static Credential credentialOf(RoutingContext routing) {
    return checkNotNull(
        routing.get(CREDENTIAL), "the route has no RoleAuthorizationHandler before this handler");
  }

  private static void reject(RoutingContext routing, ResultCode code, String message) {
    IngressResponses.error(
        routing.response(), ErrorDetail.of(code, message), Optional.empty(), Optional.empty());
  }
}
