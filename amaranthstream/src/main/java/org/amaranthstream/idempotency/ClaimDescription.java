package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableMap;

/**
 * A summary of the claims of an entry VM for the state dump, which writes the component names.
 *
 * @param remembered the number of keys whose state is in memory
 * @param answerBytes the estimated size of the cached responses in bytes
 * @param issuedUnused the number of keys that this incarnation issued and that are not used yet
 * @param counters the event counts since the process started
 */
public record ClaimDescription(
    int remembered, long answerBytes, int issuedUnused, ImmutableMap<ClaimEvent, Long> counters) {}
