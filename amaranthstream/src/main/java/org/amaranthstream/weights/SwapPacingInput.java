package org.amaranthstream.weights;

/**
 * What the number of concurrent swaps rests on.
 *
 * @param servers servers of the pool that take work
 * @param versionsBehind versions that the oldest of them is behind
 * @param stalenessBound smallest staleness bound of the classes that use the pool
 * @param swapSeconds time that a swap takes
 */
public record SwapPacingInput(
    int servers, long versionsBehind, int stalenessBound, double swapSeconds) {}
