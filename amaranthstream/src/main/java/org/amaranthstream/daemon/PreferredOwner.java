package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.RendezvousHash;

/**
 * The entry VM of the own availability zone where the steps of a trainer are kept.
 *
 * <p>One home per trainer lets one daemon see all of its steps, which the choice of steps ahead
 * rests on. It is a preference only: the delivery token names the owner and keeps samples exact.
 */
final class PreferredOwner {
  private PreferredOwner() {}

  static Optional<EntryVmId> of(TrainerId trainer, MembershipTable table) {
    ImmutableList<EntryVmId> members = table.zoneMembers();
    return RendezvousHash.order(trainer.value(), members).stream().findFirst();
  }
}
