package org.amaranthstream.membership;

import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/**
 * Load that a backend server reported about itself.
 *
 * @param incarnation the server's incarnation
 * @param version the weight version that it has loaded, empty for a plain service
 * @param running requests that it runs
 * @param queued requests that wait in it
 * @param slots requests that it can run at once
 * @param draining true if the server says that it leaves
 * @param takenNanos monotonic time of this process when the report was valid, in nanoseconds
 */
public record LoadReport(
    Incarnation incarnation,
    Optional<WeightVersion> version,
    int running,
    int queued,
    int slots,
    boolean draining,
    long takenNanos) {}
