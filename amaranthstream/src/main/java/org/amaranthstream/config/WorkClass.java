package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/**
 * A class of work with its targets, as operators state it.
 *
 * <p>An interactive class has a step deadline equal to its answer deadline, and a training class
 * the other way round, so that either is always a time. Immutable and thread safe.
 *
 * @param id the name
 * @param kind what the class is for
 * @param pool the pool that serves it
 * @param answerDeadline time within which an interactive call is answered
 * @param stepDeadline time within which the samples of a training step are whole
 * @param stalenessBound greatest number of weight versions that an answer may be behind
 * @param weighsMore which measure counts more, for training
 * @param idempotent false if a call may run at most once
 * @param maxTokens greatest number of tokens that one answer may have
 */
public record WorkClass(
    WorkClassId id,
    ClassKind kind,
    PoolId pool,
    Duration answerDeadline,
    Duration stepDeadline,
    int stalenessBound,
    PriorityTarget weighsMore,
    boolean idempotent,
    int maxTokens) {
  /** Creates a class. */
  public WorkClass {
    checkNotNull(id, "id");
    checkNotNull(kind, "kind");
    checkNotNull(pool, "pool");
    checkNotNull(answerDeadline, "answerDeadline");
    checkNotNull(stepDeadline, "stepDeadline");
    checkNotNull(weighsMore, "weighsMore");
  }

  /** Returns a builder of a class that answers or completes its steps within {@code deadline}. */
  public static Builder builder(WorkClassId id, ClassKind kind, PoolId pool, Duration deadline) {
    return new Builder(id, kind, pool, deadline);
  }

  /** Builds a class: at most once, without a bound on staleness of its own. Not thread safe. */
  public static final class Builder {
    private final WorkClassId id;
    private final ClassKind kind;
    private final PoolId pool;
    private final Duration deadline;
    private int stalenessBound;
    private PriorityTarget weighsMore = PriorityTarget.IDLE_TIME;
    private boolean idempotent;
    private int maxTokens;

    private Builder(WorkClassId id, ClassKind kind, PoolId pool, Duration deadline) {
      this.id = id;
      this.kind = kind;
      this.pool = pool;
      this.deadline = deadline;
    }

    /** Sets how many weight versions an answer may be behind. */
    @CanIgnoreReturnValue
    public Builder stalenessBound(int stalenessBound) {
      this.stalenessBound = stalenessBound;
      return this;
    }

    /** Sets which measure counts more. */
    @CanIgnoreReturnValue
    public Builder weighsMore(PriorityTarget weighsMore) {
      this.weighsMore = weighsMore;
      return this;
    }

    /** Sets whether a call may run more than once. */
    @CanIgnoreReturnValue
    public Builder idempotent(boolean idempotent) {
      this.idempotent = idempotent;
      return this;
    }

    /** Sets the greatest number of tokens of one answer. */
    @CanIgnoreReturnValue
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /** Returns the class. */
    public WorkClass build() {
      return new WorkClass(
          id, kind, pool, deadline, deadline, stalenessBound, weighsMore, idempotent, maxTokens);
    }
  }
}
