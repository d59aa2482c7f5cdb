package org.amaranthstream.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * Limits and times of a {@link Dispatcher}.
 *
 * <p>Immutable and thread safe.
 */
public final class DispatchSettings {
  private final int queueCapacity;
  private final int maxAttempts;
  private final Duration progressCheck;
  private final Duration firstPartTimeout;
  private final Duration nextPartTimeout;
  private final Duration probeTimeout;
  private final Duration unreachableBackoff;
  private final Duration reportMaxAge;
  private final Duration quarantine;

  private DispatchSettings(Builder builder) {
    this.queueCapacity = builder.queueCapacity;
    this.maxAttempts = builder.maxAttempts;
    this.progressCheck = builder.progressCheck;
    this.firstPartTimeout = builder.firstPartTimeout;
    this.nextPartTimeout = builder.nextPartTimeout;
    this.probeTimeout = builder.probeTimeout;
    this.unreachableBackoff = builder.unreachableBackoff;
    this.reportMaxAge = builder.reportMaxAge;
    this.quarantine = builder.quarantine;
  }

  /** Returns the defaults. */
  public static DispatchSettings defaults() {
    return builder().build();
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the number of requests of one pool that may wait. */
  public int queueCapacity() {
    return queueCapacity;
  }

  /** Returns the number of attempts of one request that may reach a server. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /** Returns the period of the check for attempts without progress. */
  public Duration progressCheck() {
    return progressCheck;
  }

  /** Returns the time after which an attempt without a first part is given up. */
  public Duration firstPartTimeout() {
    return firstPartTimeout;
  }

  /** Returns the time after which an attempt without a next part is given up. */
  public Duration nextPartTimeout() {
    return nextPartTimeout;
  }

  /** Returns the time after which a fresh connection counts as unanswered. */
  public Duration probeTimeout() {
    return probeTimeout;
  }

  /** Returns the time for which a server that could not be reached is passed over. */
  public Duration unreachableBackoff() {
    return unreachableBackoff;
  }

  /** Returns the age from which a load report does not count. */
  public Duration reportMaxAge() {
    return reportMaxAge;
  }

  /** Returns the time for which a poison request is refused. */
  public Duration quarantine() {
    return quarantine;
  }

  /** Builder of {@link DispatchSettings}. */
  public static final class Builder {
    private int queueCapacity = 1024;
    private int maxAttempts = 4;
    private Duration progressCheck = Duration.ofMillis(100);
    private Duration firstPartTimeout = Duration.ofSeconds(5);
    private Duration nextPartTimeout = Duration.ofSeconds(2);
    private Duration probeTimeout = Duration.ofMillis(500);
    private Duration unreachableBackoff = Duration.ofMillis(500);
    private Duration reportMaxAge = Duration.ofSeconds(5);
    private Duration quarantine = Duration.ofMinutes(10);

    private Builder() {}

    /** Sets the number of requests of one pool that may wait. */
    @CanIgnoreReturnValue
    public Builder queueCapacity(int requests) {
      checkArgument(requests > 0, "queue capacity is not positive: %s", requests);
      this.queueCapacity = requests;
      return this;
    }

    /** Sets the number of attempts of one request that may reach a server. */
    @CanIgnoreReturnValue
    public Builder maxAttempts(int attempts) {
      checkArgument(attempts > 0, "attempts are not positive: %s", attempts);
      this.maxAttempts = attempts;
      return this;
    }

    /** Sets the period of the check for attempts without progress. */
    @CanIgnoreReturnValue
    public Builder progressCheck(Duration period) {
      this.progressCheck = positive("progress check", period);
      return this;
    }

    /** Sets the time after which an attempt without a first part is given up. */
    @CanIgnoreReturnValue
    public Builder firstPartTimeout(Duration timeout) {
      this.firstPartTimeout = positive("first part timeout", timeout);
      return this;
    }

    /** Sets the time after which an attempt without a next part is given up. */
    @CanIgnoreReturnValue
    public Builder nextPartTimeout(Duration timeout) {
      this.nextPartTimeout = positive("next part timeout", timeout);
      return this;
    }

    /** Sets the time after which a fresh connection counts as unanswered. */
    @CanIgnoreReturnValue
    public Builder probeTimeout(Duration timeout) {
      this.probeTimeout = positive("probe timeout", timeout);
      return this;
    }

    /** Sets the time for which a server that could not be reached is passed over. */
    @CanIgnoreReturnValue
    public Builder unreachableBackoff(Duration backoff) {
      this.unreachableBackoff = positive("unreachable backoff", backoff);
      return this;
    }

    /** Sets the age from which a load report does not count. */
    @CanIgnoreReturnValue
    public Builder reportMaxAge(Duration age) {
      this.reportMaxAge = positive("report age", age);
      return this;
    }

    /** Sets the time for which a poison request is refused. */
    @CanIgnoreReturnValue
    public Builder quarantine(Duration time) {
      this.quarantine = positive("quarantine", time);
      return this;
    }

    /** Returns the settings. */
    public DispatchSettings build() {
      return new DispatchSettings(this);
    }

    private static Duration positive(String name, Duration value) {
      checkArgument(!value.isNegative() && !value.isZero(), "%s is not positive: %s", name, value);
      return value;
    }
  }
}
