package org.amaranthstream.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Capacity of each engine of a service, as the operators' configuration states it.
 *
 * @param slots the number of requests that an engine runs at once
 * @param memoryTokens the tokens of running requests and cached prompts that an engine holds
 * @param bytesPerToken the bytes that the memory of one token occupies when it is moved
 * @param linkMegabitsPerSecond the bandwidth of an engine's link, for moves
 */
public record EngineCapacity(
    int slots, long memoryTokens, long bytesPerToken, double linkMegabitsPerSecond) {

  /**
   * Creates a capacity.
   *
   * @throws IllegalArgumentException if a component is not positive
   */
  public EngineCapacity {
    checkArgument(slots > 0, "slots must be positive, but was %s", slots);
    checkArgument(memoryTokens > 0, "memoryTokens must be positive, but was %s", memoryTokens);
    checkArgument(bytesPerToken > 0, "bytesPerToken must be positive, but was %s", bytesPerToken);
    checkArgument(
        linkMegabitsPerSecond > 0,
        "linkMegabitsPerSecond must be positive, but was %s",
        linkMegabitsPerSecond);
  }
}
