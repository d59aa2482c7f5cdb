package org.amaranthstream.usage;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WorkspaceId;
import org.junit.jupiter.api.Test;

class UsageCollectionTest {
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

  private final UsageCollection collection = new UsageCollection();

  private static WindowCounts counts(long window, long requests) {
    return new WindowCounts(window, ImmutableSortedMap.of(WORKSPACE, requests));
  }

  private void add(String incarnation, long sequence, WindowCounts... windows) {
    collection.add(
        new DaemonUsage(
            EntryVmId.of("vm"),
            Incarnation.of(incarnation),
            sequence,
            ImmutableList.copyOf(windows)));
  }

  @Test
  void olderAndRepeatedCountsChangeNothing() {
    add("i1", 2, counts(7, 5));
    add("i1", 2, counts(7, 5));
    add("i1", 1, counts(7, 3));

    assertThat(collection.sum(7)).isEqualTo(counts(7, 5));
  }

  @Test
  void newerCountsOfOneWindowKeepTheOtherWindows() {
    add("i1", 1, counts(7, 5), counts(8, 1));
    add("i1", 2, counts(8, 4));

    assertThat(collection.sum(7)).isEqualTo(counts(7, 5));
    assertThat(collection.sum(8)).isEqualTo(counts(8, 4));
  }

  @Test
  void incarnationsOfOneDaemonAreAddedUp() {
    add("i1", 9, counts(7, 5));
    add("i2", 1, counts(7, 2));

    assertThat(collection.sum(7)).isEqualTo(counts(7, 7));
  }

  @Test
  void removedWindowsAreForgotten() {
    add("i1", 1, counts(7, 5), counts(8, 1));
    collection.removeBefore(8);

    assertThat(collection.sum(7).total()).isEqualTo(0);
    assertThat(collection.sum(8).total()).isEqualTo(1);
  }
}
