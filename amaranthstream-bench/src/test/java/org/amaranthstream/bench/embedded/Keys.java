package org.amaranthstream.bench.embedded;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Idempotency keys as callers make them: UUIDs of version 7. */
final class Keys {
  private static final AtomicLong next = new AtomicLong();

  private Keys() {}

  static String next() {
    return at(System.currentTimeMillis());
  }

  static String at(long epochMillis) {
    long high = epochMillis << 16 | 0x7000 | next.incrementAndGet() & 0xfff;
    long low = 0x8000000000000000L | next.incrementAndGet();
    return new UUID(high, low).toString();
  }
}
