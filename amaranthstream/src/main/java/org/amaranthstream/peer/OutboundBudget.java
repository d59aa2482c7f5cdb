package org.amaranthstream.peer;

import java.util.concurrent.atomic.AtomicLong;

/** Bound on the bytes that wait on all links together. Thread safe. */
final class OutboundBudget {
  private final long maxBytes;
  private final AtomicLong waiting = new AtomicLong();

  OutboundBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  boolean tryAcquire(long bytes) {
    if (waiting.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    waiting.addAndGet(-bytes);
    return false;
  }

  void release(long bytes) {
    waiting.addAndGet(-bytes);
  }

  long waitingBytes() {
    return waiting.get();
  }
}
