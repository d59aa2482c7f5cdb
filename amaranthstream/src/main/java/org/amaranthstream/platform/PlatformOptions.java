package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.auth.Secret;

/**
 * How to reach the platform.
 *
 * @param url the base URL
 * @param token the bearer token to show there
 * @param timeout time after which a call counts as lost, beside the wait of a watch
 * @param callsPerSecond calls a second that this process may make
 */
public record PlatformOptions(
    URI url, Optional<Secret> token, Duration timeout, int callsPerSecond) {

  /** Creates options. */
  public PlatformOptions {
    checkNotNull(url, "url");
    checkNotNull(token, "token");
    checkArgument(timeout.toMillis() > 0, "timeout is not positive: %s", timeout);
    checkArgument(callsPerSecond > 0, "calls per second are not positive: %s", callsPerSecond);
  }
}
