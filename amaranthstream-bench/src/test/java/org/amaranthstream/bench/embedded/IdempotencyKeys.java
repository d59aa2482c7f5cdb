package org.amaranthstream.bench.embedded;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Generator of idempotency keys in the format that callers use: UUIDs of version 7. */
final class IdempotencyKeys {
  private static final AtomicLong counter = new AtomicLong();

  private IdempotencyKeys() {}

  static String next() {
    return createdAt(System.currentTimeMillis());
  }

  static String createdAt(long epochMillis) {
    long high = epochMillis << 16 | 0x7000 | counter.incrementAndGet() & 0xfff;
    long low = 0x8000000000000000L | counter.incrementAndGet();
    return new UUID(high, low).toString();
  }
}
