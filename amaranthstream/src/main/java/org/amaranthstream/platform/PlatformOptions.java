package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.auth.Secret;

/**
 * Options of the connection to the platform.
 *
 * @param url the base URL
 * @param token the bearer token to send
 * @param timeout the timeout of a call; a watch adds its own wait to it
 * @param callsPerSecond the rate limit of the calls of this process
 */
public record PlatformOptions(
    URI url, Optional<Secret> token, Duration timeout, int callsPerSecond) {

  /**
   * Creates options.
   *
   * @throws IllegalArgumentException if the timeout or the rate limit is not positive
   */
  public PlatformOptions {
    checkNotNull(url, "url");
    checkNotNull(token, "token");
    checkArgument(timeout.toMillis() > 0, "timeout must be positive: %s", timeout);
    checkArgument(callsPerSecond > 0, "callsPerSecond must be positive: %s", callsPerSecond);
  }
}
