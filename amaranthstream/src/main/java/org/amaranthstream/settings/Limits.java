package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.EnumMap;

/**
 * Bounds on what the process reads and keeps.
 *
 * <p>Immutable and thread safe.
 */
public final class Limits {
  private final ImmutableMap<LimitKey, Integer> values;

  private Limits(ImmutableMap<LimitKey, Integer> values) {
    this.values = values;
  }

  /** Returns the limits that hold without a setting. */
  public static Limits defaults() {
    return builder().build();
  }

  /** Returns a builder that holds the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the value of {@code key}. */
  public int get(LimitKey key) {
    return values.get(key);
  }

  /** Greatest HTTP request body. */
  public int bodyBytes() {
    return get(LimitKey.BODY_BYTES);
  }

  /** Greatest sum of the HTTP request headers. */
  public int headerBytes() {
    return get(LimitKey.HEADER_BYTES);
  }

  /** Greatest number of HTTP connections that are open at a time. */
  public int httpConnections() {
    return get(LimitKey.HTTP_CONNECTIONS);
  }

  /** Greatest frame on a peer link. */
  public int peerFrameBytes() {
    return get(LimitKey.PEER_FRAME_BYTES);
  }

  /** Tasks that may wait for the decision thread. */
  public int decisionQueueTasks() {
    return get(LimitKey.DECISION_QUEUE_TASKS);
  }

  /** Frames that may wait for a peer link. */
  public int peerQueueFrames() {
    return get(LimitKey.PEER_QUEUE_FRAMES);
  }

  /** Tasks that may wait for the platform client. */
  public int platformQueueTasks() {
    return get(LimitKey.PLATFORM_QUEUE_TASKS);
  }

  /** Decision records that may wait for the writer. */
  public int writerQueueRecords() {
    return get(LimitKey.WRITER_QUEUE_RECORDS);
  }

  /** Requests of one class that may wait for a backend server. */
  public int classQueueRequests() {
    return get(LimitKey.CLASS_QUEUE_REQUESTS);
  }

  /** Decision records that are kept in memory. */
  public int decisionRecords() {
    return get(LimitKey.DECISION_RECORDS);
  }

  /** Calls a second that this process may make to the platform. */
  public int platformCallsPerSecond() {
    return get(LimitKey.PLATFORM_CALLS_PER_SECOND);
  }

  /** Builds limits. Not thread safe. */
  public static final class Builder {
    private final EnumMap<LimitKey, Integer> values = new EnumMap<>(LimitKey.class);

    private Builder() {
      for (LimitKey key : LimitKey.values()) {
        values.put(key, key.defaultValue());
      }
    }

    /**
     * Sets the value of {@code key}.
     *
     * @throws IllegalArgumentException if {@code value} is not allowed
     */
    @CanIgnoreReturnValue
    public Builder set(LimitKey key, int value) {
      checkArgument(key.allows(value), "%s does not allow %s", key.key(), value);
      values.put(key, value);
      return this;
    }

    /** Returns the limits. */
    public Limits build() {
      return new Limits(Maps.immutableEnumMap(values));
    }
  }
}
