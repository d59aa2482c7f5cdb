package org.amaranthstream.once;

import com.google.common.collect.ImmutableMap;

/**
 * A summary of the claims of an entry VM for the state dump.
 *
 * @param localClaims the number of keys whose state is in memory
 * @param responseBytes the estimated size of the cached responses in bytes
 * @param issuedUnused the number of keys that this incarnation issued and that are not used yet
 * @param counters the event counts since the process started
 */
public record ClaimDescription(
    int localClaims,
    long responseBytes,
    int issuedUnused,
    ImmutableMap<ClaimEvent, Long> counters) {}
