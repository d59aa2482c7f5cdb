package org.amaranthstream.config;

import org.amaranthstream.ids.ConfigGeneration;

/**
 * A snapshot of the configuration's state for the state dump and the metrics.
 *
 * <p>The state dump writes the component names as JSON keys.
 *
 * @param applied the active generation of this daemon
 * @param source the source of the active generation
 * @param fleet the highest generation that a peer has reported
 * @param platform the generation last read from the key-value service
 * @param platformReachable true if the last call to the key-value service got a response
 * @param platformBehind true if the key-value service holds an older generation than the active
 *     one, which is an alarm condition
 * @param refusedDocuments number of documents that were rejected because they are invalid
 * @param clashes number of documents with the active generation but different contents
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
