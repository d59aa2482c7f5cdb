package org.amaranthstream.metrics;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A bound on the number of values of one label. Values beyond the bound are replaced by {@link
 * #OTHER}. Thread safe.
 */
final class LabelBound {
  static final String OTHER = "other";

  private final int maxValues;
  private final Set<String> values = ConcurrentHashMap.newKeySet();

  LabelBound(int maxValues) {
    this.maxValues = maxValues;
  }

  /** Returns {@code value}, or {@link #OTHER} if it is new and the bound is reached. */
  String bounded(String value) {
    if (values.contains(value)) {
      return value;
    }
    synchronized (this) {
      boolean isAllowed = values.size() < maxValues && values.add(value);
      return isAllowed || values.contains(value) ? value : OTHER;
    }
  }
}
