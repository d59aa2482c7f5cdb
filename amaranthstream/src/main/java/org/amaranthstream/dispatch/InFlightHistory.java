package org.amaranthstream.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * History of the number of requests that this daemon had in flight on one server.
 *
 * <p>A load report arrives later than it was taken; the history gives the number in flight at the
 * time of the report. Confined to the decision thread.
 */
final class InFlightHistory {
  private static final int MAX_CHANGES = 512;

  private final Deque<Change> changes = new ArrayDeque<>();

  /** Records the number in flight from {@code nowNanos} on. */
  void add(long nowNanos, int inFlight) {
    changes.addLast(new Change(nowNanos, inFlight));
    if (changes.size() > MAX_CHANGES) {
      changes.removeFirst();
    }
  }

  /** Returns the number in flight at {@code nanos}, or 0 if no change at or before it is kept. */
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
