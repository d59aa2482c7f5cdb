package org.amaranthstream.jobs;

import java.time.Duration;

/**
 * Decision whether a run moves to another server.
 *
 * <p>Made for servers whose pace differs permanently and varies for short spans, neither of which
 * is a reason to move: a move closes a connection, and the prompt is read again. The length of the
 * text is an estimate that is often far off, so a move has to save several times what it costs. The
 * method is a pure function.
 */
final class MoveDecision {
  private static final double MIN_BENEFIT = 3;

  /** The time to connect and to be admitted, without the reading of the prompt. */
  private static final Duration RESUME_TIME = Duration.ofMillis(150);

  /** The time after which a run's own progress shows whether it is slow. */
  private static final Duration MIN_AGE = Duration.ofMillis(1_000);

  /** A pause this many times as long as the interval of the server counts as its new interval. */
  private static final double STALL_FACTOR = 8;

  private MoveDecision() {}

  /**
   * State of a run.
   *
   * @param missingEvents the events that the text still lacks
   * @param intervalNanos the interval between two events at the server
   * @param age the time since the run started
   * @param silence the time since its last event
   */
  record Run(double missingEvents, double intervalNanos, Duration age, Duration silence) {}

  /**
   * Returns the time that the move saves, beyond its cost; zero if the run should not move.
   *
   * @param otherIntervalNanos the interval between two events at the other server
   * @param prefill the time for which the other server reads the prompt
   */
  static Duration benefit(Run run, double otherIntervalNanos, Duration prefill) {
    if (run.age().compareTo(MIN_AGE) < 0) {
      return Duration.ZERO;
    }
    boolean isStalled = run.silence().toNanos() > STALL_FACTOR * run.intervalNanos();
    double interval = isStalled ? run.silence().toNanos() : run.intervalNanos();
    double saved = run.missingEvents() * (interval - otherIntervalNanos);
    double cost = RESUME_TIME.plus(prefill).toNanos();
    return saved > MIN_BENEFIT * cost ? Duration.ofNanos((long) (saved - cost)) : Duration.ZERO;
  }
}
