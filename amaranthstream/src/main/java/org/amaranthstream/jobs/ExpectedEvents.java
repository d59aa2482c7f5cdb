package org.amaranthstream.jobs;

import java.util.OptionalDouble;

/**
 * Estimate of the number of events of an item's text, from the texts that this daemon has received.
 * Not thread safe.
 */
final class ExpectedEvents {
  private long tokens;
  private long events;

  /** Records a complete text. */
  void onTextComplete(long expectedTokens, long receivedEvents) {
    tokens += expectedTokens;
    events += receivedEvents;
  }

  /** Returns the expected events of the whole text of {@code item}, empty if no text is known. */
  OptionalDouble of(ItemProgress item) {
    return tokens == 0
        ? OptionalDouble.empty()
        : OptionalDouble.of((double) item.expectedTokens() * events / tokens);
  }

  /**
   * Returns the expected events that {@code item} still lacks. A text that is longer than expected
   * is taken to be a long one: it probably goes on for half of what it has.
   */
  OptionalDouble missing(ItemProgress item) {
    OptionalDouble all = of(item);
    double received = item.text().lastEvent();
    return all.isEmpty()
        ? all
        : OptionalDouble.of(Math.max(all.getAsDouble() - received, received / 2));
  }
}
