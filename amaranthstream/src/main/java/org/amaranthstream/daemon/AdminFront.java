package org.amaranthstream.daemon;

import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ingress.RoleGate;
import org.amaranthstream.result.Result;

/** Joins the administration routes with the parts of a daemon. */
final class AdminFront {
  private AdminFront() {}

  static void mount(Router router, TokenVerifier verifier, Core core) {
    router.route("/v1/admin/*").handler(RoleGate.of(verifier, Role.OPERATOR));
    router.route("/v1/admin/*").handler(BodyHandler.create(false));
    router.route(HttpMethod.PUT, "/v1/admin/config").handler(routing -> put(routing, core));
  }

  private static void put(RoutingContext routing, Core core) {
    long expected = Long.parseLong(routing.request().getHeader("If-Match"));
    String yaml = routing.body().buffer().toString(StandardCharsets.UTF_8);
    core.config()
        .put(ConfigGeneration.of(expected), yaml, "operator")
        .thenAccept(result -> answer(routing, result));
  }

  private static void answer(RoutingContext routing, Result<ConfigGeneration> result) {
    int status = result instanceof Result.Success ? 200 : 409;
    routing.response().setStatusCode(status).end(result.toString());
  }
}
