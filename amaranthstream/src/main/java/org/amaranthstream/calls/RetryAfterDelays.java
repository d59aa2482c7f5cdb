package org.amaranthstream.calls;

import java.time.Duration;

/** When callers that are turned away may come back. */
public final class RetryAfterDelays {
  /** All servers refused or failed; one of them has room again soon. */
  public static final Duration NO_SERVER = Duration.ofMillis(300);

  /** The daemon has no configuration, or the store does not answer it. */
  public static final Duration NOT_READY = Duration.ofMillis(500);

  private RetryAfterDelays() {}
}
