package org.amaranthstream.weights;

/**
 * Policy for the number of servers of a pool that may swap weights at once. Implementations are
 * pure.
 */
@FunctionalInterface
public interface SwapPacing {

  /** Returns the number of servers that may swap at once, at least 1. */
  int concurrentSwaps(SwapPacingInput input);
}
