package org.amaranthstream.dispatch;

import org.amaranthstream.ids.WorkClassId;

/**
 * A budget of the retries that each class may make, in units of the mean time for which a request
 * holds a slot. Called on the decision thread.
 */
public interface RetryBudget {

  /** Returns true if the class has budget for a retry. */
  boolean isAvailable(WorkClassId workClass);

  /**
   * Charges a retry to the budget and returns true, or returns false if the budget is used up.
   *
   * @param cost slot time that the failed attempt wasted, between 0 and 1
   */
  boolean tryTake(WorkClassId workClass, double cost);

  /** Credits the budget for a completed request. */
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
