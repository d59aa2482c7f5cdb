package org.amaranthstream.dispatch;

/**
 * Earliest deadline first within a priority; interactive first, except that training gets the share
 * of turns that it needs to meet its deadline.
 *
 * <p>That share is the time to drain the waiting training requests over the time that is left to
 * the earliest of their deadlines. It is spread evenly over the turns, so that training does not
 * take all servers at once when its deadline is near.
 */
public final class SlackOrder implements QueueOrder {
  private double trainingCredit;

  private SlackOrder() {}

  /** Returns an order without credit for training. */
  public static SlackOrder create() {
    return new SlackOrder();
  }

  @Override
  public long rank(QueuedRequest request) {
    return request.deadlineNanos();
  }

  @Override
  public boolean isTrainingNext(Turn turn) {
    return trainingCredit + trainingShare(turn) >= 1;
  }

  @Override
  public void onSent(Turn turn, boolean training) {
    trainingCredit += trainingShare(turn);
    if (training) {
      trainingCredit = Math.max(0, trainingCredit - 1);
    }
    trainingCredit = Math.min(1, trainingCredit);
  }

  @Override
  public double trainingShare(Turn turn) {
    long slack = turn.training().deadlineNanos() - turn.nowNanos();
    if (slack <= 0) {
      return 1;
    }
    return Math.min(1, (double) turn.trainingDrainNanos() / slack);
  }
}
