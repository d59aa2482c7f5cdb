package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.EntryVmId;

/**
 * Selection of the entry VMs to which the local daemon keeps open links. Links to others are opened
 * for a query and closed when they are unused. Called on the decision thread.
 */
@FunctionalInterface
public interface LinkSelection {
  /** Returns the entry VMs to keep links to; those that are unknown to the table are ignored. */
  ImmutableList<EntryVmId> targets();
}
