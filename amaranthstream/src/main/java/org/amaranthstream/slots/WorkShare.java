package org.amaranthstream.slots;

import java.util.Comparator;

/**
 * Share of the slots that a job and its workspace have, for the order in which jobs get the next
 * slot: the job with the smallest share goes first.
 *
 * <p>Workspaces are compared first, then the jobs of a workspace. Weights differ by a factor of 4
 * at most, so that no work gets less than a quarter of the slots that other work gets, whatever its
 * priority and however late it is.
 *
 * @param slotsOfSharer the slots of the workspace
 * @param weightOfSharer the greatest weight of its jobs
 * @param slots the slots of the job
 * @param weight the weight of the job
 */
public record WorkShare(int slotsOfSharer, double weightOfSharer, int slots, double weight)
    implements Comparable<WorkShare> {
  private static final double MIN_WEIGHT = 0.25;
  private static final Comparator<WorkShare> ORDER =
      Comparator.comparingDouble(
              (WorkShare share) -> cost(share.slotsOfSharer, share.weightOfSharer))
          .thenComparingDouble(share -> cost(share.slots, share.weight));

  /**
   * Returns the weight of a job.
   *
   * @param priority the priority of its route; 0 is the most urgent
   * @param isLate true if it can no longer be finished in time, so that work that can goes first
   */
  public static double weight(int priority, boolean isLate) {
    return isLate ? MIN_WEIGHT : Math.max(MIN_WEIGHT, 1.0 / (1 + Math.max(0, priority)));
  }

  /** Returns the cost of one more slot. */
  private static double cost(int slots, double weight) {
    return (slots + 1) / weight;
  }

  @Override
  public int compareTo(WorkShare other) {
    return ORDER.compare(this, other);
  }
}
