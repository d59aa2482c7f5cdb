package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.PoolId;

/**
 * Membership and load in a heartbeat from a peer.
 *
 * @param from the sender, as its link authenticated it
 * @param phase whether the sender accepts new work
 * @param lastReceivedAge time since the sender last received a heartbeat of the local daemon, empty
 *     if it has received none
 * @param reports load reports that the sender polled, without those that may have been delayed by
 *     more than the relay skew
 * @param leaving incarnations of backend servers that are leaving according to the sender
 * @param aggregates aggregates of the sender's zone, or of other zones if an entry VM of that zone
 *     sent them to the sender
 * @param waiting number of requests queued in the sender, by pool
 */
public record PeerHeartbeat(
    LocalVm from,
    VmPhase phase,
    Optional<Duration> lastReceivedAge,
    ImmutableList<RelayedReport> reports,
    ImmutableList<LeavingServer> leaving,
    ImmutableList<PoolZoneView> aggregates,
    ImmutableMap<PoolId, Integer> waiting) {}
