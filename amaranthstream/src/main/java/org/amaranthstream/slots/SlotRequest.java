package org.amaranthstream.slots;

import com.google.common.collect.ImmutableList;

/**
 * Message of an owner to the coordinator: all that it uses, holds and waits for. It replaces the
 * previous message of the owner.
 *
 * @param demands what the owner runs and waits for
 * @param uses the servers that the owner uses or holds leases for
 */
public record SlotRequest(ImmutableList<SlotDemand> demands, ImmutableList<SlotUse> uses) {

  /** Returns true if the owner neither uses nor wants a slot. */
  public boolean isEmpty() {
    return uses.isEmpty() && demands.stream().allMatch(demand -> demand.wanted() == 0);
  }
}
