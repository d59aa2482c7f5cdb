package org.amaranthstream.bench.experiment;

import com.google.errorprone.annotations.Immutable;

/**
 * Number of VMs of each kind in one availability zone.
 *
 * @param zone the name of the zone
 * @param region the name of its region
 * @param entryVms number of entry VMs, with one daemon each
 * @param engines number of model engines
 * @param services number of plain services
 */
@Immutable
record ZoneSpec(String zone, String region, int entryVms, int engines, int services) {}
