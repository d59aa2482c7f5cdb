package org.amaranthstream.membership;

import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/**
 * Load that a backend server reports.
 *
 * @param incarnation the server's incarnation
 * @param version the weight version that it has loaded, empty for a plain service
 * @param running number of requests that it runs
 * @param queued number of requests queued in it
 * @param slots number of requests that it can run concurrently
 * @param draining true if the server says that it is leaving
 * @param takenNanos local monotonic time at which the report was valid, in nanoseconds
 */
public record LoadReport(
    Incarnation incarnation,
    Optional<WeightVersion> version,
    int running,
    int queued,
    int slots,
    boolean draining,
    long takenNanos) {}
