package org.amaranthstream.once;

import java.util.LinkedHashSet;
import java.util.Set;

/** Keys that this incarnation issued and that were not used yet, oldest first out. */
final class IssuedKeys {
  private static final int MAX_UNUSED = 16_384;

  private final Set<String> unused = new LinkedHashSet<>();

  void add(IdempotencyKey key) {
    unused.add(key.text());
    if (unused.size() > MAX_UNUSED) {
      unused.remove(unused.iterator().next());
    }
  }

  /** Takes a key, so that it cannot be taken again; false if it was not there. */
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
