package org.amaranthstream.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * Route of the operators' configuration.
 *
 * <p>Immutable and thread safe.
 *
 * <pre>{@code
 * Route route =
 *     Route.builder()
 *         .id(RouteId.of("lookup"))
 *         .match("survey.example", "/quotes/")
 *         .kind(RouteKind.IDEMPOTENT)
 *         .services(ImmutableList.of(new WeightedService(ServiceId.of("portal"), 1)))
 *         .build();
 * }</pre>
 */
public final class Route {
  private final RouteId id;
  private final String host;
  private final String prefix;
  private final RouteKind kind;
  private final Duration timeout;
  private final Duration latencyObjective;
  private final int priority;
  private final ImmutableList<WeightedService> services;
  private final int maxAttempts;
  private final boolean isResumable;
  private final boolean isPublic;
  private final boolean isSharingPrompts;
  private final boolean isSingleVersion;
  private final Duration itemTimeout;
  private final Duration runObjective;

  private Route(Builder builder) {
    this.id = checkNotNull(builder.id, "id");
    this.host = builder.host;
    this.prefix = builder.prefix;
    this.kind = builder.kind;
    this.timeout = builder.timeout;
    this.latencyObjective = builder.latencyObjective;
    this.priority = builder.priority;
    this.services = builder.services;
    this.maxAttempts = builder.maxAttempts;
    this.isResumable = builder.isResumable;
    this.isPublic = builder.isPublic;
    this.isSharingPrompts = builder.isSharingPrompts;
    this.isSingleVersion = builder.isSingleVersion;
    this.itemTimeout = builder.itemTimeout;
    this.runObjective = builder.runObjective;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the id of the route. */
  public RouteId id() {
    return id;
  }

  /** Returns the host name that the route matches. */
  public String host() {
    return host;
  }

  /** Returns the path prefix that the route matches; it ends with a slash. */
  public String prefix() {
    return prefix;
  }

  /** Returns the kind of requests, which decides whether they may be repeated. */
  public RouteKind kind() {
    return kind;
  }

  /** Returns the timeout of a request. */
  public Duration timeout() {
    return timeout;
  }

  /** Returns the latency objective: the time within which a response should arrive. */
  public Duration latencyObjective() {
    return latencyObjective;
  }

  /** Returns the priority of the route; 0 is the most urgent. */
  public int priority() {
    return priority;
  }

  /** Returns the services that share the requests; never empty. */
  public ImmutableList<WeightedService> services() {
    return services;
  }

  /** Returns the maximum number of backend servers that one request may be sent to. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /** Returns true if an interrupted stream may resume at another backend server. */
  public boolean isResumable() {
    return isResumable;
  }

  /** Returns true if requests need no key of a workspace. */
  public boolean isPublic() {
    return isPublic;
  }

  /** Returns true if requests name the parts of their prompts, which other requests may share. */
  public boolean isSharingPrompts() {
    return isSharingPrompts;
  }

  /** Returns true if one weight version must generate all of an item's text. */
  public boolean isSingleVersion() {
    return isSingleVersion;
  }

  /** Returns the time after a job's submission at which its open items may be given up. */
  public Duration itemTimeout() {
    return itemTimeout;
  }

  /** Returns the time after a job's submission within which its results should be complete. */
  public Duration runObjective() {
    return runObjective;
  }

  /** Returns true if the route sends requests to {@code service}, with a weight above 0. */
  public boolean allows(ServiceId service) {
    return services.stream().anyMatch(s -> s.service().equals(service) && s.weight() > 0);
  }

  /** Builder of {@link Route}. */
  public static final class Builder {
    private @Nullable RouteId id;
    private String host = "";
    private String prefix = "/";
    private RouteKind kind = RouteKind.NON_IDEMPOTENT;
    private Duration timeout = Duration.ofSeconds(10);
    private Duration latencyObjective = Duration.ofSeconds(1);
    private int priority;
    private ImmutableList<WeightedService> services = ImmutableList.of();
    private int maxAttempts = 1;
    private boolean isResumable;
    private boolean isPublic;
    private boolean isSharingPrompts;
    private boolean isSingleVersion;
    private Duration itemTimeout = Duration.ofSeconds(40);
    private Duration runObjective = Duration.ofSeconds(10);

    private Builder() {}

    /** Sets the id. */
    @CanIgnoreReturnValue
    public Builder id(RouteId id) {
      this.id = id;
      return this;
    }

    /** Sets the host name and the path prefix that the route matches. */
    @CanIgnoreReturnValue
    public Builder match(String host, String prefix) {
      this.host = checkNotNull(host, "host");
      this.prefix = checkNotNull(prefix, "prefix");
      return this;
    }

    /** Sets the kind of requests. */
    @CanIgnoreReturnValue
    public Builder kind(RouteKind kind) {
      this.kind = kind;
      return this;
    }

    /** Sets the timeout of a request. */
    @CanIgnoreReturnValue
    public Builder timeout(Duration timeout) {
      this.timeout = timeout;
      return this;
    }

    /** Sets the latency objective. */
    @CanIgnoreReturnValue
    public Builder latencyObjective(Duration latencyObjective) {
      this.latencyObjective = latencyObjective;
      return this;
    }

    /** Sets the priority; 0 is the most urgent. */
    @CanIgnoreReturnValue
    public Builder priority(int priority) {
      this.priority = priority;
      return this;
    }

    /** Sets the services that share the requests. */
    @CanIgnoreReturnValue
    public Builder services(ImmutableList<WeightedService> services) {
      this.services = services;
      return this;
    }

    /** Sets the maximum number of backend servers for one request; at least 1 is used. */
    @CanIgnoreReturnValue
    public Builder maxAttempts(int maxAttempts) {
      this.maxAttempts = Math.max(1, maxAttempts);
      return this;
    }

    /** Sets whether an interrupted stream may resume at another backend server. */
    @CanIgnoreReturnValue
    public Builder resumable(boolean isResumable) {
      this.isResumable = isResumable;
      return this;
    }

    /** Sets whether requests need no key of a workspace. */
    @CanIgnoreReturnValue
    public Builder publicAccess(boolean isPublic) {
      this.isPublic = isPublic;
      return this;
    }

    /** Sets whether requests name the parts of their prompts. */
    @CanIgnoreReturnValue
    public Builder sharingPrompts(boolean isSharingPrompts) {
      this.isSharingPrompts = isSharingPrompts;
      return this;
    }

    /** Sets whether one weight version must generate all of an item's text. */
    @CanIgnoreReturnValue
    public Builder singleVersion(boolean isSingleVersion) {
      this.isSingleVersion = isSingleVersion;
      return this;
    }

    /** Sets the time after a job's submission at which its open items may be given up. */
    @CanIgnoreReturnValue
    public Builder itemTimeout(Duration itemTimeout) {
      this.itemTimeout = itemTimeout;
      return this;
    }

    /** Sets the time after a job's submission within which its results should be complete. */
    @CanIgnoreReturnValue
    public Builder runObjective(Duration runObjective) {
      this.runObjective = runObjective;
      return this;
    }

    /**
     * Returns the route.
     *
     * @throws NullPointerException if no id was set
     */
    public Route build() {
      return new Route(this);
    }
  }
}
