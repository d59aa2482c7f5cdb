package org.amaranthstream.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import java.util.function.Supplier;
import org.amaranthstream.auth.TokenVerifier;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP routes of the administration API, as documented in {@code docs/API.md}.
 *
 * <p>Every path under {@code /v1/admin/} requires an operator's token. Thread safe.
 *
 * <pre>{@code
 * AdminRoutes.builder()
 *     .verifier(verifier)
 *     .config(configManager)
 *     .explainer(explainer)
 *     .dump(dump)
 *     .status(daemon::status)
 *     .build()
 *     .mount(router);
 * }</pre>
 */
public final class AdminRoutes {
  private static final String PREFIX = "/v1/admin/";

  private final OperatorAuthorizationHandler authorization;
  private final ConfigRoutes config;
  private final RequestExplainer explainer;
  private final StateDump dump;
  private final Supplier<?> status;

  private AdminRoutes(Builder builder) {
    this.authorization =
        new OperatorAuthorizationHandler(checkNotNull(builder.verifier, "verifier"));
    this.config = new ConfigRoutes(checkNotNull(builder.config, "config"));
    this.explainer = checkNotNull(builder.explainer, "explainer");
    this.dump = checkNotNull(builder.dump, "dump");
    this.status = checkNotNull(builder.status, "status");
  }

  /** Returns an empty builder; every property is required. */
  public static Builder builder() {
    return new Builder();
  }

  /** Adds the routes to {@code router}, the check of the token first. */
  public void mount(Router router) {
    router.route(PREFIX + "*").handler(authorization);
    config.mount(router);
    router.get(PREFIX + "explain").handler(this::explain);
    router.get(PREFIX + "dump").handler(this::dump);
    router.get(PREFIX + "status").handler(this::status);
  }

  private void explain(RoutingContext routing) {
    Optional<RequestId> id = requestId(routing.request().getParam("id"));
    if (id.isEmpty()) {
      AdminResponses.error(
          routing,
          ResultCode.INVALID_REQUEST,
          "found no request id in the parameter id, expected vm/incarnation/sequence");
      return;
    }
    explainer
        .explain(id.get())
        .thenAccept(
            result -> routing.vertx().runOnContext(unused -> respond(routing, id.get(), result)));
  }

  private static Optional<RequestId> requestId(@Nullable String text) {
    try {
      return Optional.ofNullable(text).map(RequestId::parse);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void respond(RoutingContext routing, RequestId id, Result<String> result) {
    if (result instanceof Result.Success<String> success) {
      ObjectNode body = JsonNodeFactory.instance.objectNode();
      body.put("requestId", id.toString()).put("explanation", success.value());
      AdminResponses.json(routing, ResultCode.OK, body);
    } else if (result instanceof Result.Failure<String> failure) {
      AdminResponses.error(routing, failure.error());
    }
  }

  private void dump(RoutingContext routing) {
    dump.collect()
        .thenAccept(
            body ->
                routing
                    .vertx()
                    .runOnContext(unused -> AdminResponses.json(routing, ResultCode.OK, body)));
  }

  private void status(RoutingContext routing) {
    AdminResponses.json(routing, ResultCode.OK, StateJson.tree(status.get()));
  }

  /** A builder of {@link AdminRoutes}. Not thread safe. */
  public static final class Builder {
    private @Nullable TokenVerifier verifier;
    private @Nullable ConfigManager config;
    private @Nullable RequestExplainer explainer;
    private @Nullable StateDump dump;
    private @Nullable Supplier<?> status;

    private Builder() {}

    /** Sets the verifier of bearer tokens. */
    @CanIgnoreReturnValue
    public Builder verifier(TokenVerifier verifier) {
      this.verifier = verifier;
      return this;
    }

    /** Sets the component that reads and replaces the operators' configuration. */
    @CanIgnoreReturnValue
    public Builder config(ConfigManager config) {
      this.config = config;
      return this;
    }

    /** Sets the source of the explanations of requests. */
    @CanIgnoreReturnValue
    public Builder explainer(RequestExplainer explainer) {
      this.explainer = explainer;
      return this;
    }

    /** Sets the state dump that {@code GET /v1/admin/dump} returns. */
    @CanIgnoreReturnValue
    public Builder dump(StateDump dump) {
      this.dump = dump;
      return this;
    }

    /** Sets the supplier of the short status, which is a JSON node or a record. */
    @CanIgnoreReturnValue
    public Builder status(Supplier<?> status) {
      this.status = status;
      return this;
    }

    /**
     * Returns the routes.
     *
     * @throws NullPointerException if a property is not set
     */
    public AdminRoutes build() {
      return new AdminRoutes(this);
    }
  }
}
