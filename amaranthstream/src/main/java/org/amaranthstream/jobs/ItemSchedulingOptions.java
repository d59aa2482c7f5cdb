package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.Function;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.slots.SlotLeases;

/**
 * Optional parts of the scheduling of items.
 *
 * @param isFairOrder true if jobs get slots by the shares of their workspaces and start the groups
 *     that their trainers need first; false if the oldest job goes first
 * @param isExpectedEnd true if items are placed by the expected end of their runs; false if they go
 *     to the least loaded servers
 * @param slots the leases of slots that daemons share
 * @param workspaces the lookup of the workspace that submitted a job
 * @param promptCosts the cost of reading prompts, weighed in the expected end
 */
public record ItemSchedulingOptions(
    boolean isFairOrder,
    boolean isExpectedEnd,
    SlotLeases slots,
    Function<JobSpec, Optional<WorkspaceId>> workspaces,
    ItemPromptCosts promptCosts) {
  /** None of the parts. */
  public static final ItemSchedulingOptions OFF =
      new ItemSchedulingOptions(
          false, false, SlotLeases.UNSHARED, JobSpec::workspace, ItemPromptCosts.NONE);

  /**
   * Returns the parts that have something to decide under {@code config}. If one trainer uses the
   * engines, no slots are contended; without workspaces either, no shares have to be kept.
   */
  public ItemSchedulingOptions calledForBy(RoutingConfig config) {
    boolean isContended = config.sharesEngines();
    return new ItemSchedulingOptions(
        isFairOrder && (isContended || config.workspaces().isConfigured()),
        isExpectedEnd && isContended,
        isContended ? slots : SlotLeases.UNSHARED,
        workspaces,
        isContended ? promptCosts : ItemPromptCosts.NONE);
  }

  /** Returns these options with jobs in the order of their workspaces' shares, or not. */
  public ItemSchedulingOptions withFairOrder(boolean newFairOrder) {
    return new ItemSchedulingOptions(newFairOrder, isExpectedEnd, slots, workspaces, promptCosts);
  }

  /** Returns these options with items placed by the expected end of their runs, or not. */
  public ItemSchedulingOptions withExpectedEnd(boolean newExpectedEnd) {
    return new ItemSchedulingOptions(isFairOrder, newExpectedEnd, slots, workspaces, promptCosts);
  }

  /** Returns these options with other leases of slots. */
  public ItemSchedulingOptions withSlots(SlotLeases newSlots) {
    return new ItemSchedulingOptions(
        isFairOrder, isExpectedEnd, checkNotNull(newSlots, "newSlots"), workspaces, promptCosts);
  }

  /** Returns these options with another lookup of workspaces. */
  public ItemSchedulingOptions withWorkspaces(
      Function<JobSpec, Optional<WorkspaceId>> newWorkspaces) {
    return new ItemSchedulingOptions(
        isFairOrder,
        isExpectedEnd,
        slots,
        checkNotNull(newWorkspaces, "newWorkspaces"),
        promptCosts);
  }

  /** Returns these options with other costs of reading prompts. */
  public ItemSchedulingOptions withPromptCosts(ItemPromptCosts newPromptCosts) {
    return new ItemSchedulingOptions(
        isFairOrder,
        isExpectedEnd,
        slots,
        workspaces,
        checkNotNull(newPromptCosts, "newPromptCosts"));
  }
}
