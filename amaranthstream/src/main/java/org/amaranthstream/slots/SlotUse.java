package org.amaranthstream.slots;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Use of one server's slots by one owner.
 *
 * @param server the server
 * @param running the number of requests in flight from the owner
 * @param leased the number of slots for which the owner holds leases
 */
public record SlotUse(ServerKey server, int running, int leased) {

  /**
   * Creates a use.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public SlotUse {
    checkArgument(running >= 0, "running must not be negative, but was %s", running);
    checkArgument(leased >= 0, "leased must not be negative, but was %s", leased);
  }

  /** Returns the number of slots that the owner may be using. */
  int held() {
    return Math.max(running, leased);
  }
}
