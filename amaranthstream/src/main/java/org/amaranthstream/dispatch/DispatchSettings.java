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
  private final Duration progressCheckInterval;
  private final Duration firstChunkTimeout;
  private final Duration nextChunkTimeout;
  private final Duration probeTimeout;
  private final Duration unreachableBackoff;
  private final Duration reportMaxAge;
  private final Duration quarantineDuration;

  private DispatchSettings(Builder builder) {
    this.queueCapacity = builder.queueCapacity;
    this.maxAttempts = builder.maxAttempts;
    this.progressCheckInterval = builder.progressCheckInterval;
    this.firstChunkTimeout = builder.firstChunkTimeout;
    this.nextChunkTimeout = builder.nextChunkTimeout;
    this.probeTimeout = builder.probeTimeout;
    this.unreachableBackoff = builder.unreachableBackoff;
    this.reportMaxAge = builder.reportMaxAge;
    this.quarantineDuration = builder.quarantineDuration;
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
  public Duration progressCheckInterval() {
    return progressCheckInterval;
  }

  /** Returns the time after which an attempt without a first part is given up. */
  public Duration firstChunkTimeout() {
    return firstChunkTimeout;
  }

  /** Returns the time after which an attempt without a next part is given up. */
  public Duration nextChunkTimeout() {
    return nextChunkTimeout;
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
  public Duration quarantineDuration() {
    return quarantineDuration;
  }

  /** Builder of {@link DispatchSettings}. */
  public static final class Builder {
    private int queueCapacity = 1024;
    private int maxAttempts = 4;
    private Duration progressCheckInterval = Duration.ofMillis(100);
    private Duration firstChunkTimeout = Duration.ofSeconds(5);
    private Duration nextChunkTimeout = Duration.ofSeconds(2);
    private Duration probeTimeout = Duration.ofMillis(500);
    private Duration unreachableBackoff = Duration.ofMillis(500);
    private Duration reportMaxAge = Duration.ofSeconds(5);
    private Duration quarantineDuration = Duration.ofMinutes(10);

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
    public Builder progressCheckInterval(Duration period) {
      this.progressCheckInterval = positive("progress check", period);
      return this;
    }

    /** Sets the time after which an attempt without a first part is given up. */
    @CanIgnoreReturnValue
    public Builder firstChunkTimeout(Duration timeout) {
      this.firstChunkTimeout = positive("first part timeout", timeout);
      return this;
    }

    /** Sets the time after which an attempt without a next part is given up. */
    @CanIgnoreReturnValue
    public Builder nextChunkTimeout(Duration timeout) {
      this.nextChunkTimeout = positive("next part timeout", timeout);
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
    public Builder quarantineDuration(Duration time) {
      this.quarantineDuration = positive("quarantine", time);
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
