package org.amaranthstream.jobs;

/**
 * Optional parts of the scheduling of items.
 *
 * @param isFairOrder true if jobs get slots by the shares of their workspaces and start the groups
 *     that their trainers need first; false if the oldest job goes first
 * @param isExpectedEnd true if items are placed by the expected end of their runs; false if they go
 *     to the least loaded servers
 */
public record ItemSchedulingOptions(boolean isFairOrder, boolean isExpectedEnd) {
  /** None of the parts. */
  public static final ItemSchedulingOptions OFF = new ItemSchedulingOptions(false, false);
}
