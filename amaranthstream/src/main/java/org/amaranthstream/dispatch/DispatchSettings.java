package org.amaranthstream.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * Limits, intervals and timeouts of a {@link Dispatcher}.
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

  /** Returns the default settings. */
  public static DispatchSettings defaults() {
    return builder().build();
  }

  /** Returns a builder that starts from the default settings. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the maximum number of queued requests per pool. */
  public int queueCapacity() {
    return queueCapacity;
  }

  /** Returns the maximum number of attempts per request that may reach a server. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /** Returns the interval at which attempts are checked for progress. */
  public Duration progressCheckInterval() {
    return progressCheckInterval;
  }

  /** Returns the minimum time to wait for the first chunk before an attempt counts as stalled. */
  public Duration firstChunkTimeout() {
    return firstChunkTimeout;
  }

  /** Returns the time to wait for each further chunk before an attempt counts as stalled. */
  public Duration nextChunkTimeout() {
    return nextChunkTimeout;
  }

  /** Returns the time after which a connection probe counts as failed. */
  public Duration probeTimeout() {
    return probeTimeout;
  }

  /**
   * Returns the backoff of a server or zone that is unreachable, or that rejected a request without
   * stating a retry delay.
   */
  public Duration unreachableBackoff() {
    return unreachableBackoff;
  }

  /** Returns the age at which a load report no longer counts. */
  public Duration reportMaxAge() {
    return reportMaxAge;
  }

  /** Returns how long a request that crashed servers is rejected. */
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

    /** Sets the maximum number of queued requests per pool. */
    @CanIgnoreReturnValue
    public Builder queueCapacity(int requests) {
      checkArgument(requests > 0, "queueCapacity must be positive: %s", requests);
      this.queueCapacity = requests;
      return this;
    }

    /** Sets the maximum number of attempts per request that may reach a server. */
    @CanIgnoreReturnValue
    public Builder maxAttempts(int attempts) {
      checkArgument(attempts > 0, "maxAttempts must be positive: %s", attempts);
      this.maxAttempts = attempts;
      return this;
    }

    /** Sets the interval at which attempts are checked for progress. */
    @CanIgnoreReturnValue
    public Builder progressCheckInterval(Duration interval) {
      this.progressCheckInterval = positive("progressCheckInterval", interval);
      return this;
    }

    /** Sets the minimum time to wait for the first chunk before an attempt counts as stalled. */
    @CanIgnoreReturnValue
    public Builder firstChunkTimeout(Duration timeout) {
      this.firstChunkTimeout = positive("firstChunkTimeout", timeout);
      return this;
    }

    /** Sets the time to wait for each further chunk before an attempt counts as stalled. */
    @CanIgnoreReturnValue
    public Builder nextChunkTimeout(Duration timeout) {
      this.nextChunkTimeout = positive("nextChunkTimeout", timeout);
      return this;
    }

    /** Sets the time after which a connection probe counts as failed. */
    @CanIgnoreReturnValue
    public Builder probeTimeout(Duration timeout) {
      this.probeTimeout = positive("probeTimeout", timeout);
      return this;
    }

    /**
     * Sets the backoff of a server or zone that is unreachable, or that rejected a request without
     * stating a retry delay.
     */
    @CanIgnoreReturnValue
    public Builder unreachableBackoff(Duration backoff) {
      this.unreachableBackoff = positive("unreachableBackoff", backoff);
      return this;
    }

    /** Sets the age at which a load report no longer counts. */
    @CanIgnoreReturnValue
    public Builder reportMaxAge(Duration age) {
      this.reportMaxAge = positive("reportMaxAge", age);
      return this;
    }

    /** Sets how long a request that crashed servers is rejected. */
    @CanIgnoreReturnValue
    public Builder quarantineDuration(Duration duration) {
      this.quarantineDuration = positive("quarantineDuration", duration);
      return this;
    }

    /** Returns the settings. */
    public DispatchSettings build() {
      return new DispatchSettings(this);
    }

    private static Duration positive(String name, Duration value) {
      checkArgument(!value.isNegative() && !value.isZero(), "%s must be positive: %s", name, value);
      return value;
    }
  }
}
