package org.amaranthstream.config;

import com.google.common.base.Ascii;
import com.google.common.collect.MapDifference;
import com.google.common.collect.Maps;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Human-readable summary of the differences between two configurations. */
final class ConfigSummary {
  private static final int MAX_CHARS = 200;

  private ConfigSummary() {}

  /** Returns the names of the pools and classes that differ, cut to 200 characters. */
  static String of(OperatorConfig before, OperatorConfig after) {
    List<String> parts = new ArrayList<>();
    addParts(parts, "pools", before.pools(), after.pools());
    addParts(parts, "classes", before.classes(), after.classes());
    String summary = parts.isEmpty() ? "no change" : String.join("; ", parts);
    return Ascii.truncate(summary, MAX_CHARS, "...");
  }

  private static <K, V> void addParts(
      List<String> parts, String label, Map<K, V> before, Map<K, V> after) {
    MapDifference<K, V> difference = Maps.difference(before, after);
    add(parts, label + " added", difference.entriesOnlyOnRight().keySet());
    add(parts, label + " removed", difference.entriesOnlyOnLeft().keySet());
    add(parts, label + " changed", difference.entriesDiffering().keySet());
  }

  private static void add(List<String> parts, String label, Collection<?> names) {
    if (!names.isEmpty()) {
      parts.add(label + " " + names);
    }
  }
}
