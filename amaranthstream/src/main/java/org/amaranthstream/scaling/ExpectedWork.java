package org.amaranthstream.scaling;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Work that waits or is known to come. Times are relative to the decision.
 *
 * @param serverTime the time that one server alone would take for it
 * @param start when it can begin; zero if it waits already
 * @param due when it has to be done
 */
public record ExpectedWork(Duration serverTime, Duration start, Duration due) {

  /**
   * Creates work.
   *
   * @throws IllegalArgumentException if the work is due before it can begin
   */
  public ExpectedWork {
    checkNotNull(serverTime, "serverTime");
    checkArgument(start.compareTo(due) < 0, "start %s must be before due %s", start, due);
  }
}
