package org.amaranthstream.membership;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;

/**
 * The entry VM that this process runs on.
 *
 * @param id its name
 * @param incarnation the incarnation of this process
 * @param region its region
 * @param zone its availability zone
 */
public record LocalVm(
    EntryVmId id, Incarnation incarnation, RegionId region, AvailabilityZoneId zone) {}
