package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthstream.ids.GroupId;

/**
 * Choice of the groups of a job that the trainer needs most.
 *
 * <p>Made for steps whose trainer waits for some of the groups only, in which a few items are much
 * longer than the others. A group is complete only when its longest item is, so the groups that can
 * be left out are those with the longest items: starting these first would delay all others. Groups
 * that an earlier step left incomplete are needed in any case. They come first in the job, and a
 * step leaves at most as many as its trainer does not wait for.
 *
 * <p>The method depends only on its arguments.
 */
final class NeededGroups {
  private NeededGroups() {}

  /** An item that has no result yet. */
  record OpenItem(GroupId group, long expectedTokens) {}

  /** What a group lacks. */
  private static final class Open {
    private final int position;
    private long longest;
    private long total;

    private Open(int position) {
      this.position = position;
    }
  }

  /**
   * Returns the incomplete groups that are needed.
   *
   * @param groups all groups, in the order of the job
   * @param open the items without a result
   * @param wanted the number of complete groups that the trainer waits for
   */
  static ImmutableSet<GroupId> of(List<GroupId> groups, List<OpenItem> open, int wanted) {
    Set<GroupId> incomplete = new HashSet<>();
    open.forEach(item -> incomplete.add(item.group()));
    int missing = wanted - (groups.size() - incomplete.size());
    int carried = Math.max(0, groups.size() - wanted);
    Map<GroupId, Open> byGroup = new LinkedHashMap<>();
    for (int i = 0; i < groups.size(); i++) {
      if (incomplete.contains(groups.get(i))) {
        byGroup.put(groups.get(i), new Open(i));
      }
    }
    for (OpenItem item : open) {
      Open group = byGroup.get(item.group());
      group.longest = Math.max(group.longest, item.expectedTokens());
      group.total += item.expectedTokens();
    }
    Comparator<Open> order =
        Comparator.comparing((Open group) -> group.position >= carried)
            .thenComparingLong(group -> group.longest)
            .thenComparingLong(group -> group.total);
    return byGroup.entrySet().stream()
        .sorted(Map.Entry.comparingByValue(order))
        .limit(Math.max(0, missing))
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }
}
