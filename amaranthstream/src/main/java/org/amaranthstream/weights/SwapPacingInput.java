package org.amaranthstream.weights;

/**
 * Input of {@link SwapPacing}.
 *
 * @param servers number of servers of the pool that accept work
 * @param versionsBehind number of versions that the server with the oldest weights is behind
 * @param stalenessBound smallest staleness bound of the classes that use the pool, in versions
 * @param swapSeconds estimated time of a swap, in seconds
 */
public record SwapPacingInput(
    int servers, long versionsBehind, int stalenessBound, double swapSeconds) {}
