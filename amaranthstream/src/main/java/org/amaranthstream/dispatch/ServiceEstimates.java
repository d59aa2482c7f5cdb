package org.amaranthstream.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/**
 * Moving averages of response times by class, and of slot times by pool. Used on the decision
 * thread only.
 *
 * <p>The time of a generated response is averaged per token that may be generated, so that the
 * length of a response does not distort the estimate.
 */
final class ServiceEstimates {
  private final Map<WorkClassId, MovingAverage> firstChunks = new HashMap<>();
  private final Map<WorkClassId, MovingAverage> remainders = new HashMap<>();
  private final Map<PoolId, MovingAverage> slots = new HashMap<>();

  /** Adds the time from the start of an attempt to the first chunk of its response. */
  void onFirstChunk(Work work, long nanos) {
    estimate(firstChunks, work.workClass()).add(nanos);
  }

  /** Adds the time from the first chunk to the end of a response that started at {@code offset}. */
  void onRemainder(Work work, long offset, long nanos) {
    estimate(remainders, work.workClass()).add(nanos / units(work, offset));
  }

  /** Adds the time for which a request held a slot, regardless of its outcome. */
  void onSlot(Work work, long nanos) {
    estimate(slots, work.pool()).add(nanos);
  }

  /** Returns the mean time until the first chunk of a response, 0 if not known. */
  long firstChunkNanos(WorkClassId workClass) {
    MovingAverage estimate = firstChunks.get(workClass);
    return estimate == null ? 0 : estimate.mean();
  }

  /** Returns the expected time to complete a response from {@code offset}, 0 if not known. */
  long serviceNanos(Work work, long offset) {
    MovingAverage remainder = remainders.get(work.workClass());
    if (remainder == null) {
      return 0;
    }
    return firstChunkNanos(work.workClass()) + remainder.mean() * units(work, offset);
  }

  /** Returns the mean time for which a request of the pool holds a slot, 0 if not known. */
  long slotNanos(PoolId pool) {
    MovingAverage estimate = slots.get(pool);
    return estimate == null ? 0 : estimate.mean();
  }

  /** Returns the maximum number of tokens after {@code offset}, or 1 for a plain service. */
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
