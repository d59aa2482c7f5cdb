package org.amaranthstream.metrics;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Bounds the values of one label: beyond the bound, a new value is counted as other. */
final class LabelBound {
  static final String OTHER = "other";

  private final int maxValues;
  private final Set<String> values = ConcurrentHashMap.newKeySet();

  LabelBound(int maxValues) {
    this.maxValues = maxValues;
  }

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
