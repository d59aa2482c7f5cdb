package org.amaranthstream.idempotency;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The keys that this incarnation has issued and that have not been used yet. When the set is full,
 * the oldest key is evicted.
 */
final class IssuedKeys {
  private static final int MAX_UNUSED = 16_384;

  private final Set<String> unused = new LinkedHashSet<>();

  /** Adds a key and evicts the oldest one if there are too many. */
  void add(IdempotencyKey key) {
    unused.add(key.text());
    if (unused.size() > MAX_UNUSED) {
      unused.remove(unused.iterator().next());
    }
  }

  /** Removes a key and returns true if it was present. */
  boolean take(IdempotencyKey key) {
    return unused.remove(key.text());
  }

  boolean contains(IdempotencyKey key) {
    return unused.contains(key.text());
  }

  int size() {
    return unused.size();
  }
}
