package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;

/**
 * The membership table at one moment, for the state dump.
 *
 * @param self the own entry VM
 * @param phase the own phase
 * @param listAge time since the platform's list was last read, empty if only seeds are known
 * @param isSpeaker true if this process sends the zone's aggregates to other zones
 * @param entryVms the other entry VMs
 * @param servers the backend servers of the own zone
 * @param polled the servers that this process polls now
 * @param leaving incarnations that are known to leave
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
