package org.amaranthstream.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthstream.admission.Priority;
import org.amaranthstream.ids.WorkClassId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link SlackOrder}, and of {@link SuccessShareBudget}. */
class SlackOrderTest {
  private static final WorkClassId CLASS = WorkClassId.of("lookup");

  private record WaitingRequest(Priority priority, long deadlineNanos, long arrival)
      implements QueuedRequest {}

  private static QueueOrder.Turn turn(long drainNanos, long slackNanos) {
    return new QueueOrder.Turn(
        new WaitingRequest(Priority.INTERACTIVE, 50, 1),
        new WaitingRequest(Priority.TRAINING, slackNanos, 0),
        10,
        drainNanos,
        0);
  }

  private static int trainingTurns(QueueOrder order, QueueOrder.Turn turn, int turns) {
    int training = 0;
    for (int i = 0; i < turns; i++) {
      boolean next = order.isTrainingNext(turn);
      order.onSent(turn, next);
      training += next ? 1 : 0;
    }
    return training;
  }

  @Nested
  class Turns {
    @Test
    void goToInteractiveWhileTrainingHasSlack() {
      assertThat(trainingTurns(SlackOrder.create(), turn(0, 1000), 10)).isEqualTo(0);
    }

    @Test
    void goToTrainingInTheShareNeededForItsDeadline() {
      assertThat(trainingTurns(SlackOrder.create(), turn(250, 1000), 100)).isEqualTo(25);
    }

    @Test
    void goToTrainingAfterItsDeadline() {
      assertThat(trainingTurns(SlackOrder.create(), turn(10, -1), 10)).isEqualTo(10);
    }
  }

  @Nested
  class Budget {
    @Test
    void isUsedUpByRetriesAndRefilledBySuccesses() {
      SuccessShareBudget budget = SuccessShareBudget.of(0.5, 2);
      assertThat(budget.tryTake(CLASS, 1)).isTrue();
      assertThat(budget.tryTake(CLASS, 1)).isTrue();
      assertThat(budget.tryTake(CLASS, 1)).isFalse();
      budget.onSuccess(CLASS);
      budget.onSuccess(CLASS);

      assertThat(budget.tryTake(CLASS, 1)).isTrue();
      assertThat(budget.isAvailable(CLASS)).isFalse();
    }

    @Test
    void lastsLongerForEarlyFailures() {
      SuccessShareBudget budget = SuccessShareBudget.of(0.5, 2);
      int retries = 0;
      while (budget.tryTake(CLASS, 0.25)) {
        retries++;
      }

      assertThat(retries).isEqualTo(5);
    }
  }
}
