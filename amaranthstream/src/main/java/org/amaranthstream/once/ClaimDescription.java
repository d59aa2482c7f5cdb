package org.amaranthstream.once;

import com.google.common.collect.ImmutableMap;

/**
 * State of the claims of an entry VM for the state dump.
 *
 * @param localClaims keys whose local state is kept
 * @param responseBytes bytes of the answers that are kept
 * @param issuedUnused keys that were issued and not used yet
 * @param counters counts since the start of the process
 */
public record ClaimDescription(
    int localClaims,
    long responseBytes,
    int issuedUnused,
    ImmutableMap<ClaimEvent, Long> counters) {}
