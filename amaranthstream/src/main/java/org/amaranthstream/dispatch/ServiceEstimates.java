package org.amaranthstream.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/** Learned times of answers by class, and of slots by pool. Used on the decision thread only. */
final class ServiceEstimates {
  private final Map<WorkClassId, MovingEstimate> byClass = new HashMap<>();
  private final Map<PoolId, MovingEstimate> byPool = new HashMap<>();
  private final Map<WorkClassId, MovingEstimate> firstParts = new HashMap<>();

  void onAnswer(Work work, long nanos) {
    byClass.computeIfAbsent(work.workClass(), c -> new MovingEstimate()).add(nanos);
    byPool.computeIfAbsent(work.pool(), p -> new MovingEstimate()).add(nanos);
  }

  void onFirstPart(Work work, long nanos) {
    firstParts.computeIfAbsent(work.workClass(), c -> new MovingEstimate()).add(nanos);
  }

  /** Returns the mean time until the first part of an answer, 0 if none is known. */
  long firstPartNanos(WorkClassId workClass) {
    MovingEstimate estimate = firstParts.get(workClass);
    return estimate == null ? 0 : estimate.mean();
  }

  /** Returns the mean time of an answer, 0 if none is known. */
  long serviceNanos(WorkClassId workClass) {
    MovingEstimate estimate = byClass.get(workClass);
    return estimate == null ? 0 : estimate.mean();
  }

  /** Returns the time that a fast answer takes, 0 if none is known. */
  long fastServiceNanos(WorkClassId workClass) {
    MovingEstimate estimate = byClass.get(workClass);
    return estimate == null ? 0 : estimate.low();
  }

  /** Returns the mean time that a request of the pool holds a slot, 0 if none is known. */
  long slotNanos(PoolId pool) {
    MovingEstimate estimate = byPool.get(pool);
    return estimate == null ? 0 : estimate.mean();
  }
}
