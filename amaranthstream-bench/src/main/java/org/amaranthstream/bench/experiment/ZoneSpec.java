package org.amaranthstream.bench.experiment;

import com.google.errorprone.annotations.Immutable;

/**
 * What stands in one availability zone.
 *
 * @param zone the zone
 * @param region its region
 * @param entryVms daemons in it
 * @param engines model engines in it
 * @param services plain services in it
 */
@Immutable
record ZoneSpec(String zone, String region, int entryVms, int engines, int services) {}
