package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.PoolId;

/**
 * What a heartbeat of another entry VM says about membership and load.
 *
 * @param from the sender, as its link authenticated it
 * @param phase whether the sender takes new work
 * @param lastReceivedAge how old the sender's last heartbeat from this process is, empty if none
 * @param reports load reports that the sender polled; none that may be delayed by more than the
 *     relay skew
 * @param leaving incarnations of backend servers that the sender knows to leave
 * @param aggregates aggregates of the sender's zone, or of others that it heard of directly
 * @param waiting requests that wait in the sender, by pool
 */
public record PeerHeartbeat(
    LocalVm from,
    VmPhase phase,
    Optional<Duration> lastReceivedAge,
    ImmutableList<RelayedReport> reports,
    ImmutableList<LeavingServer> leaving,
    ImmutableList<PoolZoneView> aggregates,
    ImmutableMap<PoolId, Integer> waiting) {}
