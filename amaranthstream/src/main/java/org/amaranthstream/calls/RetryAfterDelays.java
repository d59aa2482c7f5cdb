package org.amaranthstream.calls;

import java.time.Duration;

/** Delays after which callers may retry a request that was refused. */
public final class RetryAfterDelays {
  /** All servers refused or failed; one of them soon has a free slot again. */
  public static final Duration NO_SERVER = Duration.ofMillis(300);

  /** The daemon has no configuration, or the store is unavailable. */
  public static final Duration NOT_READY = Duration.ofMillis(500);

  /** The daemon shuts down; other daemons accept the request at once. */
  public static final Duration OTHER_DAEMON = Duration.ZERO;

  private RetryAfterDelays() {}
}
