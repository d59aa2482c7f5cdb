package org.amaranthstream.standins.server;

/**
 * Consecutive tokens that one weight version generated.
 *
 * @param offset number of tokens of the output before these
 * @param tokens number of these tokens
 * @param version the weight version that generated them
 */
public record RunSegment(long offset, long tokens, long version) {}
