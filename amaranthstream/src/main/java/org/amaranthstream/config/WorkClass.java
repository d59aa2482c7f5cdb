package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/**
 * A class of work with the targets that operators configure for it.
 *
 * <p>Both deadlines are always set: the one that does not apply to the kind of class equals the one
 * that does. Immutable and thread safe.
 *
 * @param id the name
 * @param kind the purpose of the class
 * @param pool the pool that serves the class
 * @param answerDeadline the longest time from an interactive call to its response
 * @param stepDeadline the longest time until the samples of a training step are complete
 * @param stalenessBound the greatest number of weight versions that a response may be behind
 * @param weighsMore the target that has priority, for training
 * @param idempotent false if a call may run at most once
 * @param maxTokens the greatest number of tokens of one response
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

  /** Returns a builder of a class whose calls or steps complete within {@code deadline}. */
  public static Builder builder(WorkClassId id, ClassKind kind, PoolId pool, Duration deadline) {
    return new Builder(id, kind, pool, deadline);
  }

  /**
   * A builder of {@link WorkClass}. By default, calls run at most once, the staleness bound is 0
   * and the token limit is 0. Not thread safe.
   */
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

    /** Sets the greatest number of weight versions that a response may be behind. */
    @CanIgnoreReturnValue
    public Builder stalenessBound(int stalenessBound) {
      this.stalenessBound = stalenessBound;
      return this;
    }

    /** Sets the target that has priority. */
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

    /** Sets the greatest number of tokens of one response. */
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
