package org.amaranthstream.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * A route of the operators' configuration.
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
    this.isSingleVersion = builder.isSingleVersion;
    this.itemTimeout = builder.itemTimeout;
    this.runObjective = builder.runObjective;
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the name of the route. */
  public RouteId id() {
    return id;
  }

  /** Returns the host whose requests the route takes. */
  public String host() {
    return host;
  }

  /** Returns the beginning of the paths that the route takes; it ends with a slash. */
  public String prefix() {
    return prefix;
  }

  /** Returns what may be repeated. */
  public RouteKind kind() {
    return kind;
  }

  /** Returns the longest time that a caller is kept waiting. */
  public Duration timeout() {
    return timeout;
  }

  /** Returns the time within which an answer is in time. */
  public Duration latencyObjective() {
    return latencyObjective;
  }

  /** Returns the rank of the route, 0 for the most urgent. */
  public int priority() {
    return priority;
  }

  /** Returns the services that share the requests; never empty. */
  public ImmutableList<WeightedService> services() {
    return services;
  }

  /** Returns the number of backend servers that one request may be sent to. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /** Returns true if a broken stream may go on at another backend server. */
  public boolean isResumable() {
    return isResumable;
  }

  /** Returns true if all of an item's text must come from one weight version. */
  public boolean isSingleVersion() {
    return isSingleVersion;
  }

  /** Returns the time after a job's submission at which its open items may be given up. */
  public Duration itemTimeout() {
    return itemTimeout;
  }

  /** Returns the time after a job's submission within which its results are due. */
  public Duration runObjective() {
    return runObjective;
  }

  /** Returns true if the route sends requests to {@code service}. */
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
    private boolean isSingleVersion;
    private Duration itemTimeout = Duration.ofSeconds(40);
    private Duration runObjective = Duration.ofSeconds(10);

    private Builder() {}

    /** Sets the name. */
    @CanIgnoreReturnValue
    public Builder id(RouteId id) {
      this.id = id;
      return this;
    }

    /** Sets which requests the route takes. */
    @CanIgnoreReturnValue
    public Builder match(String host, String prefix) {
      this.host = checkNotNull(host, "host");
      this.prefix = checkNotNull(prefix, "prefix");
      return this;
    }

    /** Sets what may be repeated. */
    @CanIgnoreReturnValue
    public Builder kind(RouteKind kind) {
      this.kind = kind;
      return this;
    }

    /** Sets the longest time that a caller is kept waiting. */
    @CanIgnoreReturnValue
    public Builder timeout(Duration timeout) {
      this.timeout = timeout;
      return this;
    }

    /** Sets the time within which an answer is in time. */
    @CanIgnoreReturnValue
    public Builder latencyObjective(Duration latencyObjective) {
      this.latencyObjective = latencyObjective;
      return this;
    }

    /** Sets the rank, 0 for the most urgent. */
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

    /** Sets the number of backend servers that one request may be sent to. */
    @CanIgnoreReturnValue
    public Builder maxAttempts(int maxAttempts) {
      this.maxAttempts = Math.max(1, maxAttempts);
      return this;
    }

    /** Sets whether a broken stream may go on at another backend server. */
    @CanIgnoreReturnValue
    public Builder resumable(boolean isResumable) {
      this.isResumable = isResumable;
      return this;
    }

    /** Sets whether all of an item's text must come from one weight version. */
    @CanIgnoreReturnValue
    public Builder singleVersion(boolean isSingleVersion) {
      this.isSingleVersion = isSingleVersion;
      return this;
    }

    /** Sets the time after which open items may be given up. */
    @CanIgnoreReturnValue
    public Builder itemTimeout(Duration itemTimeout) {
      this.itemTimeout = itemTimeout;
      return this;
    }

    /** Sets the time within which a job's results are due. */
    @CanIgnoreReturnValue
    public Builder runObjective(Duration runObjective) {
      this.runObjective = runObjective;
      return this;
    }

    /**
     * Returns the route.
     *
     * @throws NullPointerException if it has no name
     */
    public Route build() {
      return new Route(this);
    }
  }
}
