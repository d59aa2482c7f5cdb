package org.amaranthstream.membership;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;

/**
 * Identity of an entry VM and of the daemon process on it. A daemon describes itself with it, and a
 * heartbeat carries it for its sender.
 *
 * @param id the entry VM's name
 * @param incarnation the incarnation of the daemon process
 * @param region its region
 * @param zone its availability zone
 */
public record LocalVm(
    EntryVmId id, Incarnation incarnation, RegionId region, AvailabilityZoneId zone) {}
