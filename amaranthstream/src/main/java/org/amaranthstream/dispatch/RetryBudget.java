package org.amaranthstream.dispatch;

import org.amaranthstream.ids.WorkClassId;

/** Retries that a class may still make. Called on the decision thread. */
public interface RetryBudget {

  /** Returns true if a retry is left. */
  boolean isAvailable(WorkClassId workClass);

  /** Returns true and takes one retry, or returns false if none is left. */
  boolean tryTake(WorkClassId workClass);

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
      public boolean tryTake(WorkClassId workClass) {
        return true;
      }

      @Override
      public void onSuccess(WorkClassId workClass) {}
    };
  }
}
