package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;

/**
 * Snapshot of the membership table, for the state dump.
 *
 * @param self the local entry VM
 * @param phase whether the local daemon accepts new work
 * @param listAge time since the VM list was last read, empty if only the seeds are known
 * @param isSpeaker true if the local daemon sends the zone's aggregates to other zones
 * @param entryVms the entry VMs except the local one
 * @param servers the backend servers of the local zone
 * @param polled the servers that the local daemon polls now
 * @param leaving incarnations that are known to be leaving
 * @param zones aggregates of other zones
 */
public record MembershipSnapshot(
    LocalVm self,
    VmPhase phase,
    Optional<Duration> listAge,
    boolean isSpeaker,
    ImmutableList<EntryVmView> entryVms,
    ImmutableList<BackendView> servers,
    ImmutableList<BackendServerId> polled,
    ImmutableList<LeavingServer> leaving,
    ImmutableList<PoolZoneView> zones) {}
