package org.amaranthstream.dispatch;

/**
 * An order that sends the earliest deadline first within a priority, and interactive requests
 * before training, except for the share of turns that training needs to meet its deadline.
 *
 * <p>That share is the estimated time to complete the waiting training requests divided by the time
 * until the earliest of their deadlines. Turns of training are spread evenly, so that it does not
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
