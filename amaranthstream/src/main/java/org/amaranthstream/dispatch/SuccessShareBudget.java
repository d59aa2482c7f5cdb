package org.amaranthstream.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.ids.WorkClassId;

/**
 * A retry budget that each success of a class increases by a fixed share, up to a reserve that
 * covers the crash of a server. A retry after an attempt that failed early costs less than one
 * after an attempt that failed late.
 *
 * <p>Not thread safe.
 */
public final class SuccessShareBudget implements RetryBudget {
  private static final double DEFAULT_SHARE = 0.2;
  private static final int DEFAULT_RESERVE = 100;

  private final double share;
  private final int reserve;
  private final Map<WorkClassId, Double> remaining = new HashMap<>();

  private SuccessShareBudget(double share, int reserve) {
    this.share = share;
    this.reserve = reserve;
  }

  /** Returns a budget of 0.2 retries for each success and a reserve of 100 retries. */
  public static SuccessShareBudget create() {
    return of(DEFAULT_SHARE, DEFAULT_RESERVE);
  }

  /**
   * Returns a budget.
   *
   * @param share retries that each success adds, between 0 and 1
   * @param reserve retries that a class has at the start, and the maximum
   */
  public static SuccessShareBudget of(double share, int reserve) {
    checkArgument(share >= 0 && share <= 1, "share is not between 0 and 1: %s", share);
    checkArgument(reserve >= 0, "reserve is negative: %s", reserve);
    return new SuccessShareBudget(share, reserve);
  }

  @Override
  public boolean isAvailable(WorkClassId workClass) {
    return remaining(workClass) >= 1;
  }

  @Override
  public boolean tryTake(WorkClassId workClass, double cost) {
    checkArgument(cost >= 0 && cost <= 1, "cost is not between 0 and 1: %s", cost);
    if (!isAvailable(workClass)) {
      return false;
    }
    remaining.put(workClass, remaining(workClass) - cost);
    return true;
  }

  @Override
  public void onSuccess(WorkClassId workClass) {
    remaining.put(workClass, Math.min(reserve, remaining(workClass) + share));
  }

  private double remaining(WorkClassId workClass) {
    return remaining.getOrDefault(workClass, (double) reserve);
  }
}
