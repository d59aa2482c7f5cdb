package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.amaranthstream.auth.Role;
import org.amaranthstream.auth.TokenVerifier;
import org.jspecify.annotations.Nullable;

/** The HTTP routes for callers and trainers. */
public final class IngressRoutes {
  private static final String CALLS = "/v1/classes/:class/calls";
  private static final String KEYS = "/v1/request-keys";
  private static final String STEP = "/v1/trainers/:trainer/steps/:step";
  private static final String VERSIONS = "/v1/models/:model/versions";

  private final TokenVerifier verifier;
  private final DrainHandler drainHandler;
  private final int maxBodyBytes;
  private final Handler<RoutingContext> calls;
  private final Handler<RoutingContext> requestKeys;
  private final Handler<RoutingContext> steps;
  private final Handler<RoutingContext> pulls;
  private final Handler<RoutingContext> versions;

  private IngressRoutes(Builder builder) {
    this.verifier = checkNotNull(builder.verifier, "verifier");
    this.drainHandler = checkNotNull(builder.drainHandler, "drainHandler");
    this.maxBodyBytes = builder.maxBodyBytes;
    this.calls = checkNotNull(builder.calls, "calls");
    this.requestKeys = checkNotNull(builder.requestKeys, "requestKeys");
    this.steps = checkNotNull(builder.steps, "steps");
    this.pulls = checkNotNull(builder.pulls, "pulls");
    this.versions = checkNotNull(builder.versions, "versions");
  }

  /** Returns an empty builder; every property is required. */
  public static Builder builder() {
    return new Builder();
  }

  /** Adds the routes to {@code router}. */
  public void mount(Router router) {
    router.route().last().handler(UnknownPathHandler.INSTANCE);
    RoleAuthorizationHandler caller =
        RoleAuthorizationHandler.of(verifier, Role.CALLER, Role.TRAINER);
    RoleAuthorizationHandler trainer = RoleAuthorizationHandler.of(verifier, Role.TRAINER);
    addHandlers(router, HttpMethod.POST, CALLS, caller, drainHandler, bodyHandler(), calls);
    addHandlers(router, HttpMethod.POST, KEYS, caller, drainHandler, requestKeys);
    Handler<RoutingContext> counting = drainHandler.countingHandler();
    addHandlers(router, HttpMethod.PUT, STEP, trainer, drainHandler, bodyHandler(), steps);
    addHandlers(router, HttpMethod.POST, STEP + "/pull", trainer, counting, bodyHandler(), pulls);
    addHandlers(router, HttpMethod.POST, VERSIONS, trainer, counting, bodyHandler(), versions);
  }

  /** Adds one route for each handler, so that tokens are checked before bodies are read. */
  @SafeVarargs
  private static void addHandlers(
      Router router, HttpMethod method, String path, Handler<RoutingContext>... handlers) {
    for (Handler<RoutingContext> handler : handlers) {
      router.route(method, path).handler(handler);
    }
  }

  private BodyHandler bodyHandler() {
    return BodyHandler.create(false).setBodyLimit(maxBodyBytes);
  }

  /** Builder of {@link IngressRoutes}. */
  public static final class Builder {
    private @Nullable TokenVerifier verifier;
    private @Nullable DrainHandler drainHandler;
    private int maxBodyBytes;
    private @Nullable Handler<RoutingContext> calls;
    private @Nullable Handler<RoutingContext> requestKeys;
    private @Nullable Handler<RoutingContext> steps;
    private @Nullable Handler<RoutingContext> pulls;
    private @Nullable Handler<RoutingContext> versions;

    private Builder() {}

    /** Sets the verifier of bearer tokens. */
    @CanIgnoreReturnValue
    public Builder verifier(TokenVerifier verifier) {
      this.verifier = verifier;
      return this;
    }

    /** Sets the handler that rejects new requests while the daemon is draining. */
    @CanIgnoreReturnValue
    public Builder drainHandler(DrainHandler drainHandler) {
      this.drainHandler = drainHandler;
      return this;
    }

    /** Sets the maximum size of a request body in bytes. */
    @CanIgnoreReturnValue
    public Builder maxBodyBytes(int maxBodyBytes) {
      this.maxBodyBytes = maxBodyBytes;
      return this;
    }

    /** Sets the handler of calls. */
    @CanIgnoreReturnValue
    public Builder calls(Handler<RoutingContext> calls) {
      this.calls = calls;
      return this;
    }

    /** Sets the handler that issues idempotency keys. */
    @CanIgnoreReturnValue
    public Builder requestKeys(Handler<RoutingContext> requestKeys) {
      this.requestKeys = requestKeys;
      return this;
    }

    /** Sets the handler of training steps. */
    @CanIgnoreReturnValue
    public Builder steps(Handler<RoutingContext> steps) {
      this.steps = steps;
      return this;
    }

    /** Sets the handler of pulls. */
    @CanIgnoreReturnValue
    public Builder pulls(Handler<RoutingContext> pulls) {
      this.pulls = pulls;
      return this;
    }

    /** Sets the handler of announced weight versions. */
    @CanIgnoreReturnValue
    public Builder versions(Handler<RoutingContext> versions) {
      this.versions = versions;
      return this;
    }

    /**
     * Returns the routes.
     *
     * @throws NullPointerException if a handler or the verifier is not set
     */
    public IngressRoutes build() {
      return new IngressRoutes(this);
    }
  }
}
