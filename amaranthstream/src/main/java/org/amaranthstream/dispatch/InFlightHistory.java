package org.amaranthstream.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The recent numbers of own requests in flight on one server, so that a late report can be compared
 * with the number at its time. Used on the decision thread only.
 */
final class InFlightHistory {
  private static final int MAX_CHANGES = 512;

  private final Deque<Change> changes = new ArrayDeque<>();

  void add(long nowNanos, int inFlight) {
    changes.addLast(new Change(nowNanos, inFlight));
    if (changes.size() > MAX_CHANGES) {
      changes.removeFirst();
    }
  }

  /** Returns the number at {@code nanos}; the oldest known one if that is longer ago. */
  int at(long nanos) {
    Iterator<Change> newestFirst = changes.descendingIterator();
    while (newestFirst.hasNext()) {
      Change change = newestFirst.next();
      if (change.atNanos - nanos <= 0) {
        return change.inFlight;
      }
    }
    return 0;
  }

  private record Change(long atNanos, int inFlight) {}
}
