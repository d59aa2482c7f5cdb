package org.amaranthstream.membership;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;

/**
 * What is known about another entry VM.
 *
 * @param id the entry VM
 * @param region its region
 * @param zone its availability zone
 * @param host its IP number, empty if only its heartbeats are known
 * @param port the port of its peer link, 0 if only its heartbeats are known
 * @param listed true if the platform's list has it
 * @param reachability what its heartbeats say
 * @param hearsUs false if its heartbeats say that it does not receive ours
 * @param phase whether it takes new work
 * @param incarnation its newest incarnation, empty if never heard of
 * @param heardAge time since its last heartbeat, empty if never heard of
 */
public record EntryVmView(
    EntryVmId id,
    RegionId region,
    AvailabilityZoneId zone,
    Optional<String> host,
    int port,
    boolean listed,
    Reachability reachability,
    boolean hearsUs,
    VmPhase phase,
    Optional<Incarnation> incarnation,
    Optional<Duration> heardAge) {
  /** Returns true if messages pass both ways and the entry VM takes new work. */
  public boolean takesWork() {
    return reachability == Reachability.REACHABLE && hearsUs && phase == VmPhase.READY;
  }
}
