package org.amaranthstream.slots;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Order in which the next slot is offered to work that waits at one daemon. The method is a pure
 * function.
 */
public final class WorkOrder {
  private WorkOrder() {}

  /**
   * Work that competes for slots.
   *
   * @param work the work, such as a job
   * @param demand what it runs and waits for
   * @param timeLeft the time until its results are due; negative if they are late
   */
  public record Candidate<T>(T work, SlotDemand demand, Duration timeLeft) {}

  /**
   * Returns the candidates, the one that gets the next slot first.
   *
   * <p>Made for a few workspaces of which one has submitted many more items than the others: the
   * next slot goes to the workspace that uses the fewest slots for its weight, and within it to the
   * job that uses the fewest for its own ({@link WorkShare}). Equal ones follow in the order in
   * which they are due.
   */
  public static <T> ImmutableList<Candidate<T>> byShare(List<Candidate<T>> candidates) {
    Map<String, Integer> slots = new HashMap<>();
    Map<String, Double> weights = new HashMap<>();
    for (Candidate<T> each : candidates) {
      slots.merge(each.demand().sharer(), each.demand().running(), Integer::sum);
      weights.merge(each.demand().sharer(), weight(each.demand()), Math::max);
    }
    Comparator<Candidate<T>> order =
        Comparator.comparing((Candidate<T> each) -> share(each.demand(), slots, weights))
            .thenComparing(Candidate::timeLeft);
    return ImmutableList.sortedCopyOf(order, candidates);
  }

  private static WorkShare share(
      SlotDemand demand, Map<String, Integer> slots, Map<String, Double> weights) {
    return new WorkShare(
        slots.get(demand.sharer()), weights.get(demand.sharer()), demand.running(), weight(demand));
  }

  private static double weight(SlotDemand demand) {
    return WorkShare.weight(demand.priority(), demand.isLate());
  }
}
