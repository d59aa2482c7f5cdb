package org.amaranthstream.dispatch.http;

import java.util.ArrayDeque;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.AttemptListener;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.ring.Duty;

/**
 * Hands the events of one attempt to the decision duty, in order and without loss.
 *
 * <p>While the duty's ring is full, events wait here; {@link #isBlocked} tells the attempt to stop
 * reading its connection, which bounds the number that wait. Used on one event loop.
 */
final class AttemptEventQueue {
  private final Duty decisions;
  private final AttemptListener listener;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
  private boolean ended;

  AttemptEventQueue(Duty decisions, AttemptListener listener) {
    this.decisions = decisions;
    this.listener = listener;
  }

  void sending() {
    offer(listener::onSending);
  }

  void chunk(Chunk chunk) {
    offer(() -> listener.onChunk(chunk));
  }

  /** Hands over the end of the attempt; later events are ignored. */
  void end(AttemptEnd end) {
    if (ended) {
      return;
    }
    offer(() -> listener.onEnd(end));
    ended = true;
  }

  /** Ignores all later events. */
  void discard() {
    ended = true;
    waiting.clear();
  }

  boolean isEnded() {
    return ended;
  }

  boolean isBlocked() {
    return !waiting.isEmpty();
  }

  /** Offers the events that wait once more. */
  void flush() {
    while (!waiting.isEmpty() && decisions.offer(waiting.peek())) {
      waiting.remove();
    }
  }

  private void offer(Runnable event) {
    if (ended) {
      return;
    }
    waiting.add(event);
    flush();
  }
}
