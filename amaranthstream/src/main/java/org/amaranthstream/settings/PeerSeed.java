package org.amaranthstream.settings;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RegionId;

/**
 * An entry VM that is known before the platform's list has been read.
 *
 * @param vm its name
 * @param region its region
 * @param zone its availability zone
 * @param address the address of its peer link
 */
public record PeerSeed(
    EntryVmId vm, RegionId region, AvailabilityZoneId zone, ListenAddress address) {}
