package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The windows of the reports of use. Times are in milliseconds since the epoch.
 *
 * @param window the length of a window; windows begin at its multiples
 * @param lateness the time after the end of a window until which its report is of use
 */
public record UsageTiming(Duration window, Duration lateness) {
  /** Late responses and the counts of other daemons arrive within this share of the lateness. */
  private static final int SETTLING_DIVISOR = 4;

  private static final int COLLECTION_DIVISOR = 2;

  /**
   * Creates a timing.
   *
   * @throws IllegalArgumentException if a duration is less than a millisecond
   */
  public UsageTiming {
    checkArgument(window.toMillis() > 0, "the window must be positive, but was %s", window);
    checkArgument(lateness.toMillis() > 0, "the lateness must be positive, but was %s", lateness);
  }

  /** Returns the number of the window that contains {@code millis}. */
  public long windowAt(long millis) {
    return Math.floorDiv(millis, window.toMillis());
  }

  /** Returns when {@code window} ends. */
  public long endOf(long number) {
    return (number + 1) * window.toMillis();
  }

  /** Returns when the counts of a window have settled. */
  public long settledAt(long number) {
    return endOf(number) + lateness.toMillis() / SETTLING_DIVISOR;
  }

  /** Returns until when counts of a window that are missing are waited for. */
  public long collectedUntil(long number) {
    return endOf(number) + lateness.toMillis() / COLLECTION_DIVISOR;
  }

  /** Returns true if the report of a window is still of use. */
  public boolean isUseful(long number, long nowMillis) {
    return nowMillis < endOf(number) + lateness.toMillis();
  }

  /** Returns the oldest window whose report is still of use. */
  public long oldestUseful(long nowMillis) {
    return windowAt(nowMillis - lateness.toMillis());
  }
}
