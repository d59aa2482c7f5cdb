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

  /** Returns the times that hold without a setting. */
  public static Timing defaults() {
    return builder().build();
  }

  /** Returns a builder that holds the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the time of {@code key}. */
  public Duration get(TimingKey key) {
    return values.get(key);
  }

  /** Time between two heartbeats to a peer. */
  public Duration heartbeatInterval() {
    return get(TimingKey.HEARTBEAT_INTERVAL);
  }

  /** Time without a heartbeat after which a peer is suspected. */
  public Duration suspectTimeout() {
    return get(TimingKey.SUSPECT_TIMEOUT);
  }

  /** Time between two readings of the platform's VM list. */
  public Duration vmListPollInterval() {
    return get(TimingKey.VM_LIST_POLL_INTERVAL);
  }

  /** Time between two load reports of a backend server. */
  public Duration loadPollInterval() {
    return get(TimingKey.LOAD_POLL_INTERVAL);
  }

  /** Time for which a stopping process goes on accepting, while balancers still send to it. */
  public Duration drainLag() {
    return get(TimingKey.DRAIN_LAG);
  }

  /** Time without progress after which an open connection is compared with a fresh one. */
  public Duration silentConnectionTimeout() {
    return get(TimingKey.SILENT_CONNECTION_TIMEOUT);
  }

  /** Time after which a shutdown that still has requests in flight is reported as late. */
  public Duration shutdownTimeout() {
    return get(TimingKey.SHUTDOWN_TIMEOUT);
  }

  /** Time after which a call to the platform counts as lost. */
  public Duration platformTimeout() {
    return get(TimingKey.PLATFORM_TIMEOUT);
  }

  /** Time that one watch of the configuration waits at the platform. */
  public Duration configWatchWait() {
    return get(TimingKey.CONFIG_WATCH_WAIT);
  }

  /** Time between two plain readings of the configuration, beside the watch. */
  public Duration configPollInterval() {
    return get(TimingKey.CONFIG_POLL_INTERVAL);
  }

  /** Builds times. Not thread safe. */
  public static final class Builder {
    private final EnumMap<TimingKey, Duration> values = new EnumMap<>(TimingKey.class);

    private Builder() {
      for (TimingKey key : TimingKey.values()) {
        values.put(key, Duration.ofMillis(key.defaultMillis()));
      }
    }

    /**
     * Sets the time of {@code key}.
     *
     * @throws IllegalArgumentException if {@code value} is out of the key's range
     */
    @CanIgnoreReturnValue
    public Builder set(TimingKey key, Duration value) {
      long millis = value.toMillis();
      checkArgument(
          millis >= key.minMillis() && millis <= key.maxMillis(),
          "%s does not allow %s",
          key.key(),
          value);
      values.put(key, value);
      return this;
    }

    /** Returns the times. */
    public Timing build() {
      return new Timing(Maps.immutableEnumMap(values));
    }
  }
}
