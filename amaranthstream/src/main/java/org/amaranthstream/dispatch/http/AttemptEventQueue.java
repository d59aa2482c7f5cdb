package org.amaranthstream.dispatch.http;

import java.util.ArrayDeque;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.AttemptListener;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.ring.Duty;

/**
 * Queue that passes the events of one attempt to the decision duty, in order and without loss.
 *
 * <p>While the ring buffer of the duty is full, events are queued here. The attempt stops reading
 * its connection while {@link #isBlocked} is true, which bounds the length of the queue. Confined
 * to one event loop.
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

  /** Passes on the end of the attempt; later events are ignored. */
  void end(AttemptEnd end) {
    if (ended) {
      return;
    }
    offer(() -> listener.onEnd(end));
    ended = true;
  }

  /** Discards the queued events and ignores all later ones. */
  void discard() {
    ended = true;
    waiting.clear();
  }

  boolean isEnded() {
    return ended;
  }

  /** Returns true while events are queued because the ring buffer of the duty was full. */
  boolean isBlocked() {
    return !waiting.isEmpty();
  }

  /** Passes queued events to the duty until the queue is empty or the ring buffer is full. */
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
