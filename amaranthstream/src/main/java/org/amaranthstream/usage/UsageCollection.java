package org.amaranthstream.usage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WorkspaceId;

/**
 * The newest counts of several daemons. Adding the same counts again, or older ones, changes
 * nothing. Not thread safe.
 */
final class UsageCollection {
  private final Map<Source, TreeMap<Long, Counts>> sources = new HashMap<>();

  private record Source(EntryVmId vm, Incarnation incarnation) {}

  private record Counts(long sequence, WindowCounts window) {}

  /** Adds counts, each of which replaces an older one of the same window. */
  void add(DaemonUsage usage) {
    TreeMap<Long, Counts> windows =
        sources.computeIfAbsent(
            new Source(usage.vm(), usage.incarnation()), unused -> new TreeMap<>());
    for (WindowCounts window : usage.windows()) {
      windows.merge(
          window.window(),
          new Counts(usage.sequence(), window),
          (before, added) -> added.sequence() > before.sequence() ? added : before);
    }
  }

  /** Returns the counts of one window, by daemon. */
  ImmutableList<DaemonUsage> counts(long window) {
    ImmutableList.Builder<DaemonUsage> found = ImmutableList.builder();
    sources.forEach(
        (source, windows) ->
            Optional.ofNullable(windows.get(window))
                .ifPresent(counts -> found.add(usage(source, counts))));
    return found.build();
  }

  private static DaemonUsage usage(Source source, Counts counts) {
    return new DaemonUsage(
        source.vm(), source.incarnation(), counts.sequence(), ImmutableList.of(counts.window()));
  }

  /** Returns the sum of one window over all daemons. */
  WindowCounts sum(long window) {
    TreeMap<WorkspaceId, Long> total = new TreeMap<>();
    for (DaemonUsage usage : counts(window)) {
      usage.windows().get(0).requests().forEach((id, count) -> total.merge(id, count, Long::sum));
    }
    return new WindowCounts(window, ImmutableSortedMap.copyOf(total));
  }

  /** Removes the windows before {@code oldest}. */
  void removeBefore(long oldest) {
    sources.values().forEach(windows -> windows.headMap(oldest).clear());
    sources.values().removeIf(TreeMap::isEmpty);
  }
}
