package org.amaranthstream.slots;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Items of one owner that run or wait and that the same servers can run.
 *
 * @param sharer the workspace that the items are for, or the model if no workspace is known; the
 *     slots are divided evenly among sharers
 * @param priority the priority of the route; 0 is the most urgent
 * @param services the services whose servers may run the items
 * @param model the model that generates
 * @param minVersion the oldest weight version that may generate
 * @param running the number of items that run
 * @param waiting the number of items that are ready to start
 * @param isLate true if the items can no longer be finished in time
 */
public record SlotDemand(
    String sharer,
    int priority,
    ImmutableSet<ServiceId> services,
    ModelId model,
    WeightVersion minVersion,
    int running,
    int waiting,
    boolean isLate) {

  /**
   * Creates a demand.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public SlotDemand {
    checkArgument(running >= 0, "running must not be negative, but was %s", running);
    checkArgument(waiting >= 0, "waiting must not be negative, but was %s", waiting);
  }

  /** Returns the number of slots that the items can use. */
  int wanted() {
    return running + waiting;
  }
}
