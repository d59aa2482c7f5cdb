package org.amaranthstream.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/**
 * Learned times of answers by class, and of slots by pool. Used on the decision thread only.
 *
 * <p>The time of a generated answer is learned for each token that may be generated, so that a long
 * answer is not taken for a slow one.
 */
final class ServiceEstimates {
  private final Map<WorkClassId, MovingAverage> firstParts = new HashMap<>();
  private final Map<WorkClassId, MovingAverage> remainders = new HashMap<>();
  private final Map<PoolId, MovingAverage> slots = new HashMap<>();

  void onFirstPart(Work work, long nanos) {
    estimate(firstParts, work.workClass()).add(nanos);
  }

  /** Takes the time from the first part to the end of an answer that began at {@code offset}. */
  void onRemainder(Work work, long offset, long nanos) {
    estimate(remainders, work.workClass()).add(nanos / units(work, offset));
  }

  /** Takes the time for which a request held a slot, whatever its outcome. */
  void onSlot(Work work, long nanos) {
    estimate(slots, work.pool()).add(nanos);
  }

  /** Returns the mean time until the first part of an answer, 0 if none is known. */
  long firstPartNanos(WorkClassId workClass) {
    MovingAverage estimate = firstParts.get(workClass);
    return estimate == null ? 0 : estimate.mean();
  }

  /** Returns the expected time of the rest of an answer after {@code offset}, 0 if not known. */
  long serviceNanos(Work work, long offset) {
    MovingAverage remainder = remainders.get(work.workClass());
    if (remainder == null) {
      return 0;
    }
    return firstPartNanos(work.workClass()) + remainder.mean() * units(work, offset);
  }

  /** Returns the mean time for which a request of the pool holds a slot, 0 if none is known. */
  long slotNanos(PoolId pool) {
    MovingAverage estimate = slots.get(pool);
    return estimate == null ? 0 : estimate.mean();
  }

  /** Returns the number of tokens to come, or 1 for a plain service. */
  private static long units(Work work, long offset) {
    if (work.payload() instanceof Payload.Generate generate) {
      return Math.max(1, generate.maxTokens() - offset);
    }
    return 1;
  }

  private static <K> MovingAverage estimate(Map<K, MovingAverage> estimates, K key) {
    return estimates.computeIfAbsent(key, k -> new MovingAverage());
  }
}
