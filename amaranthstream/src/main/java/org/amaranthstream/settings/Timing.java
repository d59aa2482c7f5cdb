package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.EnumMap;

/**
 * Intervals and timeouts of the process.
 *
 * <p>Immutable and thread safe.
 */
public final class Timing {
  private final ImmutableMap<TimingKey, Duration> values;

  private Timing(ImmutableMap<TimingKey, Duration> values) {
    this.values = values;
  }

  /** Returns the default intervals and timeouts. */
  public static Timing defaults() {
    return builder().build();
  }

  /** Returns a builder that is initialized with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the interval or timeout of {@code key}. */
  public Duration get(TimingKey key) {
    return values.get(key);
  }

  /** Returns the interval between two heartbeats to a peer. */
  public Duration heartbeatInterval() {
    return get(TimingKey.HEARTBEAT_INTERVAL);
  }

  /** Returns the time without a heartbeat after which a peer is suspected to be unreachable. */
  public Duration suspectTimeout() {
    return get(TimingKey.SUSPECT_TIMEOUT);
  }

  /** Returns the interval at which the platform's VM list is polled. */
  public Duration vmListPollInterval() {
    return get(TimingKey.VM_LIST_POLL_INTERVAL);
  }

  /** Returns the interval at which the load of a backend server is polled. */
  public Duration loadPollInterval() {
    return get(TimingKey.LOAD_POLL_INTERVAL);
  }

  /**
   * Returns the time for which a stopping process still accepts requests, as load balancers still
   * send some.
   */
  public Duration drainLag() {
    return get(TimingKey.DRAIN_LAG);
  }

  /**
   * Returns the time without progress on an open connection after which the server is probed over a
   * new one.
   */
  public Duration silentConnectionTimeout() {
    return get(TimingKey.SILENT_CONNECTION_TIMEOUT);
  }

  /** Returns the time after which a shutdown with requests still in flight is logged as late. */
  public Duration shutdownTimeout() {
    return get(TimingKey.SHUTDOWN_TIMEOUT);
  }

  /** Returns the timeout of a call to the platform. */
  public Duration platformTimeout() {
    return get(TimingKey.PLATFORM_TIMEOUT);
  }

  /** Returns the time for which one long poll of the configuration waits at the platform. */
  public Duration configWatchWait() {
    return get(TimingKey.CONFIG_WATCH_WAIT);
  }

  /** Returns the interval between two reads of the configuration that do not use the watch. */
  public Duration configPollInterval() {
    return get(TimingKey.CONFIG_POLL_INTERVAL);
  }

  /** Builder of {@link Timing}. Not thread safe. */
  public static final class Builder {
    private final EnumMap<TimingKey, Duration> values = new EnumMap<>(TimingKey.class);

    private Builder() {
      for (TimingKey key : TimingKey.values()) {
        values.put(key, Duration.ofMillis(key.defaultMillis()));
      }
    }

    /**
     * Sets the interval or timeout of {@code key}.
     *
     * @throws IllegalArgumentException if {@code value} is out of the key's range
     */
    @CanIgnoreReturnValue
    public Builder set(TimingKey key, Duration value) {
      long millis = value.toMillis();
      checkArgument(
          millis >= key.minMillis() && millis <= key.maxMillis(),
          "invalid time %s: %s",
          key.key(),
          value);
      values.put(key, value);
      return this;
    }

    /** Returns the intervals and timeouts. */
    public Timing build() {
      return new Timing(Maps.immutableEnumMap(values));
    }
  }
}
