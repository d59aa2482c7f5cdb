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

/** Lets calls pass whose bearer token belongs to one of the allowed roles. Thread safe. */
public final class RoleGate implements Handler<RoutingContext> {
  private static final String CREDENTIAL = "credential";

  private final TokenVerifier verifier;
  private final ImmutableSet<Role> allowed;

  private RoleGate(TokenVerifier verifier, ImmutableSet<Role> allowed) {
    this.verifier = checkNotNull(verifier, "verifier");
    this.allowed = allowed;
  }

  /** Returns a gate for {@code allowed} roles. */
  public static RoleGate of(TokenVerifier verifier, Role... allowed) {
    return new RoleGate(verifier, ImmutableSet.copyOf(allowed));
  }

  @Override
  public void handle(RoutingContext routing) {
    Optional<Credential> credential = verifier.verify(routing.request().getHeader("Authorization"));
    if (credential.isEmpty()) {
      refuse(routing, ResultCode.UNAUTHENTICATED, "no valid bearer token");
    } else if (!allowed.contains(credential.get().role())) {
      String message = "role " + credential.get().role() + " may not make this call";
      refuse(routing, ResultCode.FORBIDDEN, message);
    } else {
      routing.put(CREDENTIAL, credential.get());
      routing.next();
    }
  }

  /** Returns the credential of a call that passed a gate. */
  static Credential credentialOf(RoutingContext routing) {
    return checkNotNull(routing.get(CREDENTIAL), "no gate before the handler");
  }

  private static void refuse(RoutingContext routing, ResultCode code, String message) {
    HttpAnswers.error(
        routing.response(), ErrorDetail.of(code, message), Optional.empty(), Optional.empty());
  }
}
