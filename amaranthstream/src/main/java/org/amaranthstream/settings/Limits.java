package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.EnumMap;

/**
 * Limits on the size and number of what the process reads, queues and keeps in memory.
 *
 * <p>Immutable and thread safe.
 */
public final class Limits {
  private final ImmutableMap<LimitKey, Integer> values;

  private Limits(ImmutableMap<LimitKey, Integer> values) {
    this.values = values;
  }

  /** Returns the default limits. */
  public static Limits defaults() {
    return builder().build();
  }

  /** Returns a builder that is initialized with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the value of {@code key}. */
  public int get(LimitKey key) {
    return values.get(key);
  }

  /** Returns the maximum size of an HTTP request body. */
  public int bodyBytes() {
    return get(LimitKey.BODY_BYTES);
  }

  /** Returns the maximum total size of the headers of an HTTP request. */
  public int headerBytes() {
    return get(LimitKey.HEADER_BYTES);
  }

  /** Returns the maximum number of HTTP connections that are open at the same time. */
  public int httpConnections() {
    return get(LimitKey.HTTP_CONNECTIONS);
  }

  /** Returns the maximum size of a frame on a peer link. */
  public int peerFrameBytes() {
    return get(LimitKey.PEER_FRAME_BYTES);
  }

  /** Returns the maximum number of tasks queued for the decision thread. */
  public int decisionQueueTasks() {
    return get(LimitKey.DECISION_QUEUE_TASKS);
  }

  /** Returns the maximum number of frames queued for a peer link. */
  public int peerQueueFrames() {
    return get(LimitKey.PEER_QUEUE_FRAMES);
  }

  /** Returns the maximum number of tasks queued for the platform client. */
  public int platformQueueTasks() {
    return get(LimitKey.PLATFORM_QUEUE_TASKS);
  }

  /** Returns the maximum number of decision records queued for the writer. */
  public int writerQueueRecords() {
    return get(LimitKey.WRITER_QUEUE_RECORDS);
  }

  /** Returns the maximum number of requests of one class queued for a backend server. */
  public int classQueueRequests() {
    return get(LimitKey.CLASS_QUEUE_REQUESTS);
  }

  /** Returns the number of decision records that are kept in memory. */
  public int decisionRecords() {
    return get(LimitKey.DECISION_RECORDS);
  }

  /** Returns the maximum number of calls per second from this process to the platform. */
  public int platformCallsPerSecond() {
    return get(LimitKey.PLATFORM_CALLS_PER_SECOND);
  }

  /** Builder of {@link Limits}. Not thread safe. */
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
     * @throws IllegalArgumentException if {@code value} is out of range or not a power of two as
     *     {@code key} requires
     */
    @CanIgnoreReturnValue
    public Builder set(LimitKey key, int value) {
      checkArgument(key.allows(value), "invalid limit %s: %s", key.key(), value);
      values.put(key, value);
      return this;
    }

    /** Returns the limits. */
    public Limits build() {
      return new Limits(Maps.immutableEnumMap(values));
    }
  }
}
