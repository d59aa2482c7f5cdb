package org.amaranthstream.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.amaranthstream.auth.Credential;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.result.ResultCode;

/**
 * A handler that passes on only requests with an operator's token.
 *
 * <p>Other requests get an error: 401 without a valid token, 403 with the token of another role.
 * Thread safe.
 */
final class OperatorAuthorizationHandler implements Handler<RoutingContext> {
  private static final String OPERATOR = "operator";

  private final TokenVerifier verifier;

  OperatorAuthorizationHandler(TokenVerifier verifier) {
    this.verifier = checkNotNull(verifier, "verifier");
  }

  @Override
  public void handle(RoutingContext routing) {
    Optional<Credential> credential = verifier.verify(routing.request().getHeader("Authorization"));
    if (credential.isEmpty()) {
      AdminResponses.error(routing, ResultCode.UNAUTHENTICATED, "no valid bearer token");
    } else if (credential.get().role() != Role.OPERATOR) {
      AdminResponses.error(routing, ResultCode.FORBIDDEN, "the token is not an operator's");
    } else {
      routing.put(OPERATOR, credential.get().name().value());
      routing.next();
    }
  }

  /** Returns the name of the operator whose token this handler has verified. */
  static String operatorOf(RoutingContext routing) {
    return checkNotNull(
        routing.get(OPERATOR), "the route has no OperatorAuthorizationHandler before this handler");
  }
}
