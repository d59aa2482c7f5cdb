package org.amaranthstream.config;

import org.amaranthstream.ids.ConfigGeneration;

/**
 * What the keeper knows, for the state dump and the metrics.
 *
 * @param applied the generation in force here
 * @param source where it came from
 * @param fleet the highest generation that a peer has named
 * @param platform the generation last read from the key-value service
 * @param platformReachable true if the last call to the key-value service was answered
 * @param platformBehind alarm: the key-value service holds an older generation than is in force
 * @param refusedDocuments documents that were not followed because they cannot be read
 * @param clashes documents of the generation in force with other contents
 */
public record ConfigStatus(
    ConfigGeneration applied,
    ConfigSource source,
    ConfigGeneration fleet,
    ConfigGeneration platform,
    boolean platformReachable,
    boolean platformBehind,
    long refusedDocuments,
    long clashes) {}
