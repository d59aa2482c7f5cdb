package org.amaranthstream.prompts;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Estimate of the time that the engines of a service need to read one token of a prompt.
 *
 * <p>Compares the delay until the first event of requests whose prompt had to be read with that of
 * requests whose prompt was mostly held. The medians of the two differ by the reading only: the
 * network, the queue and the first generated token are in both. Medians tolerate the delays of
 * engines that were slow or had a queue. Not thread safe.
 */
final class PrefillRate {
  /** The number of delays of each kind below which the difference says little. */
  private static final int MIN_SAMPLES = 8;

  /** A prompt counts as held if no more than this share of it has to be read. */
  private static final double MAX_READ_SHARE_OF_HELD = 0.25;

  private final RecentSamples readDelays = new RecentSamples();
  private final RecentSamples readTokens = new RecentSamples();
  private final RecentSamples heldDelays = new RecentSamples();
  private final RecentSamples heldRestTokens = new RecentSamples();

  /**
   * Records the delay until the first event of a request.
   *
   * @param promptTokens the tokens of the whole prompt
   * @param heldTokens the tokens that the engine was expected to hold
   */
  void add(long promptTokens, long heldTokens, Duration delay) {
    long rest = promptTokens - heldTokens;
    if (promptTokens <= 0) {
      return;
    }
    if (heldTokens == 0) {
      readDelays.add(delay.toNanos());
      readTokens.add(rest);
    } else if (rest <= promptTokens * MAX_READ_SHARE_OF_HELD) {
      heldDelays.add(delay.toNanos());
      heldRestTokens.add(rest);
    }
  }

  /** Returns the nanoseconds to read one token, empty while too few delays are known. */
  OptionalDouble nanosPerToken() {
    if (readDelays.size() < MIN_SAMPLES || heldDelays.size() < MIN_SAMPLES) {
      return OptionalDouble.empty();
    }
    double tokens = readTokens.median() - heldRestTokens.median();
    double nanos = readDelays.median() - heldDelays.median();
    return tokens <= 0 ? OptionalDouble.empty() : OptionalDouble.of(Math.max(0, nanos / tokens));
  }
}
