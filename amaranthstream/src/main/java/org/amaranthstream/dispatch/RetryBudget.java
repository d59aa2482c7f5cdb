package org.amaranthstream.dispatch;

import org.amaranthstream.ids.WorkClassId;

/**
 * Retries that a class may still make, in units of the mean time for which a request holds a slot.
 * Called on the decision thread.
 */
public interface RetryBudget {

  /** Returns true if any retry is left. */
  boolean isAvailable(WorkClassId workClass);

  /**
   * Returns true and takes a retry, or returns false if none is left.
   *
   * @param cost slot time that the failed attempt held for nothing, at most 1
   */
  boolean tryTake(WorkClassId workClass, double cost);

  /** Counts an answer that was whole. */
  void onSuccess(WorkClassId workClass);

  /** Returns a budget without a limit. */
  static RetryBudget unlimited() {
    return new RetryBudget() {
      @Override
      public boolean isAvailable(WorkClassId workClass) {
        return true;
      }

      @Override
      public boolean tryTake(WorkClassId workClass, double cost) {
        return true;
      }

      @Override
      public void onSuccess(WorkClassId workClass) {}
    };
  }
}
