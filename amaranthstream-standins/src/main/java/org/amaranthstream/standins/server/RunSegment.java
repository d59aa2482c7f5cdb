package org.amaranthstream.standins.server;

/**
 * Tokens that one version of the weights produced in a row.
 *
 * @param offset number of tokens of the answer before these
 * @param tokens number of these tokens
 * @param version the weight version that produced them
 */
public record RunSegment(long offset, long tokens, long version) {}
