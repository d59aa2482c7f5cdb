package org.amaranthstream.membership;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;

/**
 * State of an entry VM other than the local one.
 *
 * @param id the entry VM
 * @param region its region
 * @param zone its availability zone
 * @param host its IP address, empty if the VM list does not contain it
 * @param port the port of its peer link, 0 if the VM list does not contain it
 * @param listed true if the VM list contains it
 * @param reachability its reachability according to its heartbeats
 * @param hearsUs true if its last heartbeat says that it receives those of the local daemon
 * @param phase whether it accepts new work
 * @param incarnation its latest incarnation, empty if no heartbeat was received
 * @param heardAge time since its last heartbeat, empty if none was received
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
  /** Returns true if heartbeats arrive in both directions and the entry VM accepts new work. */
  public boolean takesWork() {
    return reachability == Reachability.REACHABLE && hearsUs && phase == VmPhase.READY;
  }
}
