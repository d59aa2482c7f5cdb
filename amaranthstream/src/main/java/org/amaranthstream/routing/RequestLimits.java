package org.amaranthstream.routing;

import java.time.Duration;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeaderBytes the size of a request's head
 * @param maxBodyBytes the size of a request's body
 * @param headerTimeout the time for sending a request's head
 * @param idleTimeout the time that a connection may stay without a request
 */
public record RequestLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Returns the limits that hold before a configuration is known. */
  public static RequestLimits defaults() {
    return new RequestLimits(16_384, 32L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
