package org.amaranthstream.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.amaranthstream.auth.Credential;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.result.ResultCode;

/** Lets calls pass that carry an operator's token. Thread safe. */
final class OperatorGate implements Handler<RoutingContext> {
  private static final String OPERATOR = "operator";

  private final TokenVerifier verifier;

  OperatorGate(TokenVerifier verifier) {
    this.verifier = checkNotNull(verifier, "verifier");
  }

  @Override
  public void handle(RoutingContext routing) {
    Optional<Credential> credential = verifier.verify(routing.request().getHeader("Authorization"));
    if (credential.isEmpty()) {
      AdminAnswers.error(routing, ResultCode.UNAUTHENTICATED, "no valid bearer token");
    } else if (credential.get().role() != Role.OPERATOR) {
      AdminAnswers.error(routing, ResultCode.FORBIDDEN, "the token is not an operator's");
    } else {
      routing.put(OPERATOR, credential.get().name().value());
      routing.next();
    }
  }

  /** Returns the name of the operator whose call passed the gate. */
  static String operatorOf(RoutingContext routing) {
    return checkNotNull(routing.get(OPERATOR), "no gate before the handler");
  }
}
