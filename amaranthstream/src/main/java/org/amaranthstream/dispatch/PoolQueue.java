package org.amaranthstream.dispatch;

import com.google.common.collect.Iterables;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import org.amaranthstream.admission.Priority;

/** A queue of the requests of one pool that wait for a server. Used on the decision thread only. */
final class PoolQueue {
  private final QueueOrder order;
  private final Map<Priority, TreeSet<ActiveRequest>> waiting = new EnumMap<>(Priority.class);

  PoolQueue(QueueOrder order) {
    this.order = order;
    Comparator<ActiveRequest> comparator =
        (a, b) -> {
          int byRank = Long.signum(order.rank(a) - order.rank(b));
          return byRank != 0 ? byRank : Long.compare(a.arrival(), b.arrival());
        };
    for (Priority priority : Priority.values()) {
      waiting.put(priority, new TreeSet<>(comparator));
    }
  }

  void add(ActiveRequest request) {
    waiting.get(request.priority()).add(request);
  }

  void remove(ActiveRequest request) {
    waiting.get(request.priority()).remove(request);
  }

  /** Returns the number of waiting requests of both priorities. */
  int size() {
    int size = 0;
    for (TreeSet<ActiveRequest> requests : waiting.values()) {
      size += requests.size();
    }
    return size;
  }

  /** Returns the number of waiting requests of {@code priority}. */
  int size(Priority priority) {
    return waiting.get(priority).size();
  }

  /** Returns the number of waiting requests that are expected to be sent before a new one. */
  int countAhead(Priority priority, long deadlineNanos, Optional<QueueOrder.Turn> turn) {
    int count = 0;
    for (ActiveRequest request : waiting.get(priority)) {
      if (request.deadlineNanos() - deadlineNanos > 0) {
        break;
      }
      count++;
    }
    return priority == Priority.TRAINING
        ? count + size(Priority.INTERACTIVE)
        : count + expectedTrainingAhead(count, turn);
  }

  /**
   * Returns the number of training requests that are expected to be sent before {@code interactive}
   * interactive ones.
   */
  private int expectedTrainingAhead(int interactive, Optional<QueueOrder.Turn> turn) {
    if (turn.isEmpty()) {
      return 0;
    }
    double share = order.trainingShare(turn.get());
    double expected = share < 1 ? interactive * share / (1 - share) : Double.MAX_VALUE;
    return (int) Math.min(size(Priority.TRAINING), expected);
  }

  /** Returns the input of the choice between the priorities, empty unless both have requests. */
  Optional<QueueOrder.Turn> turn(long slotNanos, IntSupplier slots, long nowNanos) {
    TreeSet<ActiveRequest> training = waiting.get(Priority.TRAINING);
    TreeSet<ActiveRequest> interactive = waiting.get(Priority.INTERACTIVE);
    if (training.isEmpty() || interactive.isEmpty()) {
      return Optional.empty();
    }
    long drainNanos = (long) ((double) training.size() * slotNanos / Math.max(1, slots.getAsInt()));
    return Optional.of(
        new QueueOrder.Turn(
            interactive.first(), training.first(), training.size(), drainNanos, nowNanos));
  }

  /** Returns the waiting requests in the order in which to try to send them. */
  Iterable<ActiveRequest> inOrder(Optional<QueueOrder.Turn> turn) {
    boolean isTrainingFirst = turn.isPresent() && order.isTrainingNext(turn.get());
    return Iterables.concat(
        waiting.get(isTrainingFirst ? Priority.TRAINING : Priority.INTERACTIVE),
        waiting.get(isTrainingFirst ? Priority.INTERACTIVE : Priority.TRAINING));
  }

  /** Notifies the order that {@code sent} was sent. */
  void onSent(Optional<QueueOrder.Turn> turn, ActiveRequest sent) {
    if (turn.isPresent()) {
      order.onSent(turn.get(), sent.priority() == Priority.TRAINING);
    }
  }
}
