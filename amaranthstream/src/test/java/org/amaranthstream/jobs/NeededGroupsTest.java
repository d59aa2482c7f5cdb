package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.amaranthstream.ids.GroupId;
import org.junit.jupiter.api.Test;

class NeededGroupsTest {
  private static final int GROUPS = 20;
  private static final int WANTED = 18;
  private static final int ITEMS = 8;
  private static final int SLOTS = 24;

  private static final ImmutableList<GroupId> ALL =
      IntStream.range(0, GROUPS)
          .mapToObj(i -> GroupId.of("g" + i))
          .collect(ImmutableList.toImmutableList());

  private static NeededGroups.OpenItem item(int group, long tokens) {
    return new NeededGroups.OpenItem(ALL.get(group), tokens);
  }

  @Test
  void leavesOutTheGroupsWithTheLongestItems() {
    List<NeededGroups.OpenItem> open = new ArrayList<>();
    for (int i = 0; i < GROUPS; i++) {
      open.add(item(i, i == 9 || i == 14 ? 900 : 10));
      open.add(item(i, 10));
    }

    Set<GroupId> needed = NeededGroups.of(ALL, open, WANTED);

    assertThat(needed).hasSize(WANTED);
    assertThat(needed).containsNoneOf(ALL.get(9), ALL.get(14));
  }

  /** The first groups may be those that an earlier step left incomplete. */
  @Test
  void includesTheFirstGroupsWhateverTheirLength() {
    List<NeededGroups.OpenItem> open = new ArrayList<>();
    for (int i = 0; i < GROUPS; i++) {
      open.add(item(i, i < GROUPS - WANTED ? 900 : 10));
    }

    assertThat(NeededGroups.of(ALL, open, WANTED)).containsAtLeast(ALL.get(0), ALL.get(1));
  }

  @Test
  void needsOnlyWhatIsMissing() {
    List<NeededGroups.OpenItem> open = List.of(item(5, 40), item(6, 10), item(7, 20));

    assertThat(NeededGroups.of(ALL, open, WANTED)).containsExactly(ALL.get(6));
    assertThat(NeededGroups.of(ALL, open, GROUPS - 3)).isEmpty();
  }

  /**
   * Steps with several items a slot, a few of them very long, whose trainers wait for nine groups
   * in ten: on average they are complete earlier than with the longest items of all groups first.
   * With as many slots as items the order matters little.
   */
  @Test
  void completesTheWantedGroupsEarlier() {
    long longestFirst = 0;
    long neededFirst = 0;
    for (int seed = 0; seed < 50; seed++) {
      List<NeededGroups.OpenItem> items = drawItems(new Random(seed));
      longestFirst += timeUntilWanted(items, Set.of());
      neededFirst += timeUntilWanted(items, NeededGroups.of(ALL, items, WANTED));
    }

    assertThat(neededFirst).isLessThan(longestFirst);
  }

  private static List<NeededGroups.OpenItem> drawItems(Random random) {
    List<NeededGroups.OpenItem> items = new ArrayList<>();
    for (int i = 0; i < GROUPS * ITEMS; i++) {
      boolean isLong = random.nextInt(100) < 8;
      items.add(item(i / ITEMS, (5 + random.nextInt(20)) * (isLong ? 5 : 1)));
    }
    return items;
  }

  /** Runs the items of the needed groups first, the longest first, and returns the time. */
  private static long timeUntilWanted(List<NeededGroups.OpenItem> items, Set<GroupId> needed) {
    List<NeededGroups.OpenItem> order = new ArrayList<>(items);
    order.sort(
        Comparator.comparing((NeededGroups.OpenItem item) -> !needed.contains(item.group()))
            .thenComparing(item -> -item.expectedTokens()));
    PriorityQueue<Long> slots = new PriorityQueue<>();
    IntStream.range(0, SLOTS).forEach(i -> slots.add(0L));
    Map<GroupId, Long> ends = new HashMap<>();
    for (NeededGroups.OpenItem item : order) {
      long end = slots.remove() + item.expectedTokens();
      slots.add(end);
      ends.merge(item.group(), end, Math::max);
    }
    return ends.values().stream().sorted().skip(WANTED - 1).findFirst().orElseThrow();
  }
}
