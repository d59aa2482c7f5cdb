package org.amaranthstream.once;

import com.google.common.collect.ImmutableMap;

/**
 * State of the claims of an entry VM for the state dump.
 *
 * @param remembered keys whose local state is kept
 * @param answerBytes bytes of the answers that are kept
 * @param issuedUnused keys that were issued and not used yet
 * @param counters counts since the start of the process
 */
public record ClaimDescription(
    int remembered, long answerBytes, int issuedUnused, ImmutableMap<ClaimEvent, Long> counters) {}
