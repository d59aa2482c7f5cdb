package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.RendezvousHash;

/**
 * The preferred owner of the steps of a trainer: one entry VM of the local availability zone.
 *
 * <p>With one owner for all steps of a trainer, one daemon has the data from which the number of
 * steps to generate ahead is chosen. This is only a preference: the delivery token names the actual
 * owner and ensures exactly-once delivery of samples.
 */
final class PreferredOwner {
  private PreferredOwner() {}

  /** Returns the first zone member in the rendezvous order of {@code trainer}. */
  static Optional<EntryVmId> of(TrainerId trainer, MembershipTable table) {
    ImmutableList<EntryVmId> members = table.zoneMembers();
    return RendezvousHash.order(trainer.value(), members).stream().findFirst();
  }
}
