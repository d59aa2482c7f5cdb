package org.amaranthstream.peer;

import java.util.concurrent.atomic.AtomicLong;

/** Bound on the number of bytes that wait on all links together. Thread safe. */
final class OutboundBudget {
  private final long maxBytes;
  private final AtomicLong waitingBytes = new AtomicLong();

  OutboundBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  boolean tryAcquire(long bytes) {
    if (waitingBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    waitingBytes.addAndGet(-bytes);
    return false;
  }

  void release(long bytes) {
    waitingBytes.addAndGet(-bytes);
  }

  long waitingBytes() {
    return waitingBytes.get();
  }
}
