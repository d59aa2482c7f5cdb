package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.EntryVmId;

/**
 * A change of the registered daemons that a {@link Fleet} applied at once.
 *
 * <p>Made for the start, the loss and the return of many daemons: what a daemon derives from the
 * registered daemons is derived once for all of them and not once for each.
 *
 * @param joined the daemons that have registered, or whose registration has changed, and that are
 *     still registered
 * @param lost the registrations that have ended or were replaced by another incarnation
 */
public record NodesChange(ImmutableList<FleetNode> joined, ImmutableList<FleetNode> lost) {
  /** Returns true if the registration of {@code node} has ended and was not renewed since. */
  boolean hasLost(FleetNode node) {
    return lost.contains(node) && !joined.contains(node);
  }

  /** Returns the VMs of the lost daemons. */
  public ImmutableList<EntryVmId> lostVms() {
    return lost.stream().map(FleetNode::vm).distinct().collect(ImmutableList.toImmutableList());
  }
}
