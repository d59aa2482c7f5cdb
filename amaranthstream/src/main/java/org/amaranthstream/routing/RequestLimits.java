package org.amaranthstream.routing;

import java.time.Duration;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes the maximum size of a request's head
 * @param maxBodyBytes the maximum size of a request's body
 * @param headerTimeout the time in which a caller must send a request's head
 * @param idleTimeout the time after which a connection without a request is closed
 */
public record RequestLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Returns the limits that apply before a configuration is loaded. */
  public static RequestLimits defaults() {
    return new RequestLimits(16_384, 32L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
