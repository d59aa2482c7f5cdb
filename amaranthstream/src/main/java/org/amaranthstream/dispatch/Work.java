package org.amaranthstream.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Optional;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ids.WorkClassId;
import org.jspecify.annotations.Nullable;

/**
 * One request to be run on a backend server of a pool.
 *
 * <p>Immutable and thread safe.
 *
 * <pre>{@code
 * Work work =
 *     Work.builder()
 *         .id(requestId)
 *         .workClass(WorkClassId.of("lookup"))
 *         .pool(PoolId.of("coding"))
 *         .priority(Priority.INTERACTIVE)
 *         .payload(new Payload.Generate("steel bolts", 16, 0))
 *         .deadlineNanos(timers.nowNanos() + Duration.ofSeconds(2).toNanos())
 *         .build();
 * }</pre>
 */
public final class Work {
  private final RequestId id;
  private final WorkClassId workClass;
  private final PoolId pool;
  private final Priority priority;
  private final boolean idempotent;
  private final Payload payload;
  private final Optional<AffinityKey> affinity;
  private final Optional<WeightVersion> minimumVersion;
  private final long deadlineNanos;
  private final boolean forwarded;

  private Work(Builder builder) {
    this.id = checkNotNull(builder.id, "id");
    this.workClass = checkNotNull(builder.workClass, "workClass");
    this.pool = checkNotNull(builder.pool, "pool");
    this.priority = checkNotNull(builder.priority, "priority");
    this.idempotent = builder.idempotent;
    this.payload = checkNotNull(builder.payload, "payload");
    this.affinity = Optional.ofNullable(builder.affinity);
    this.minimumVersion = Optional.ofNullable(builder.minimumVersion);
    this.deadlineNanos = builder.deadlineNanos;
    this.forwarded = builder.forwarded;
  }

  /** Returns a builder of idempotent work. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the request's id. */
  public RequestId id() {
    return id;
  }

  /** Returns the class of work. */
  public WorkClassId workClass() {
    return workClass;
  }

  /** Returns the pool whose servers can run it. */
  public PoolId pool() {
    return pool;
  }

  /** Returns the priority at the backend server. */
  public Priority priority() {
    return priority;
  }

  /**
   * Returns true if a trainer is owed the response, whatever happens to the servers that run it.
   */
  public boolean isOwed() {
    return priority == Priority.TRAINING;
  }

  /** Returns false if the request may run at most once. */
  public boolean idempotent() {
    return idempotent;
  }

  /** Returns the payload to run. */
  public Payload payload() {
    return payload;
  }

  /** Returns the affinity key, which requests with a common prompt prefix share. */
  public Optional<AffinityKey> affinity() {
    return affinity;
  }

  /** Returns the oldest weight version that may produce the response. */
  public Optional<WeightVersion> minimumVersion() {
    return minimumVersion;
  }

  /** Returns the deadline on this process's monotonic clock, in nanoseconds. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns true if a peer forwarded the request; such a request is not forwarded again. */
  public boolean forwarded() {
    return forwarded;
  }

  /** Builder of {@link Work}. */
  public static final class Builder {
    private @Nullable RequestId id;
    private @Nullable WorkClassId workClass;
    private @Nullable PoolId pool;
    private @Nullable Priority priority;
    private boolean idempotent = true;
    private @Nullable Payload payload;
    private @Nullable AffinityKey affinity;
    private @Nullable WeightVersion minimumVersion;
    private long deadlineNanos;
    private boolean forwarded;

    private Builder() {}

    /** Sets the request's id. */
    @CanIgnoreReturnValue
    public Builder id(RequestId id) {
      this.id = id;
      return this;
    }

    /** Sets the class of work. */
    @CanIgnoreReturnValue
    public Builder workClass(WorkClassId workClass) {
      this.workClass = workClass;
      return this;
    }

    /** Sets the pool. */
    @CanIgnoreReturnValue
    public Builder pool(PoolId pool) {
      this.pool = pool;
      return this;
    }

    /** Sets the priority. */
    @CanIgnoreReturnValue
    public Builder priority(Priority priority) {
      this.priority = priority;
      return this;
    }

    /** Sets whether the request may run more than once. */
    @CanIgnoreReturnValue
    public Builder idempotent(boolean idempotent) {
      this.idempotent = idempotent;
      return this;
    }

    /** Sets the payload to run. */
    @CanIgnoreReturnValue
    public Builder payload(Payload payload) {
      this.payload = payload;
      return this;
    }

    /** Sets the affinity key. */
    @CanIgnoreReturnValue
    public Builder affinity(AffinityKey affinity) {
      this.affinity = affinity;
      return this;
    }

    /** Sets the oldest weight version that may produce the response. */
    @CanIgnoreReturnValue
    public Builder minimumVersion(WeightVersion minimumVersion) {
      this.minimumVersion = minimumVersion;
      return this;
    }

    /** Sets the deadline on this process's monotonic clock, in nanoseconds. */
    @CanIgnoreReturnValue
    public Builder deadlineNanos(long deadlineNanos) {
      this.deadlineNanos = deadlineNanos;
      return this;
    }

    /** Sets whether a peer forwarded the request. */
    @CanIgnoreReturnValue
    public Builder forwarded(boolean forwarded) {
      this.forwarded = forwarded;
      return this;
    }

    /**
     * Returns the work.
     *
     * @throws NullPointerException if a required property was not set
     */
    public Work build() {
      return new Work(this);
    }
  }
}
