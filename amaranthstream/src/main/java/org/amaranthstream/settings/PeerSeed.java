package org.amaranthstream.settings;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RegionId;

/**
 * An initial peer: an entry VM that is known before the platform's VM list has been read.
 *
 * @param vm the name of the entry VM
 * @param region the region of the entry VM
 * @param zone the availability zone of the entry VM
 * @param address the address on which the entry VM accepts peer links
 */
public record PeerSeed(
    EntryVmId vm, RegionId region, AvailabilityZoneId zone, ListenAddress address) {}
