package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.amaranthstream.ids.EntryVmId;
import org.junit.jupiter.api.Test;

class TakeoverCandidatesTest {
  private static final List<EntryVmId> FLEET =
      IntStream.range(0, 80).mapToObj(i -> EntryVmId.of("vm-" + i)).toList();

  @Test
  void areThreeOfLargeFleet() {
    assertThat(TakeoverCandidates.of(EntryVmId.of("lost"), FLEET)).hasSize(3);
  }

  @Test
  void areTheSameAtAllDaemons() {
    EntryVmId lost = EntryVmId.of("lost");

    assertThat(TakeoverCandidates.of(lost, Lists.reverse(FLEET)))
        .isEqualTo(TakeoverCandidates.of(lost, FLEET));
  }

  /** A third of the fleet is lost within a second; its jobs must not all go to a few daemons. */
  @Test
  void ofManyLostDaemonsAreSpread() {
    List<EntryVmId> remaining = FLEET.subList(27, 80);
    Set<EntryVmId> first = new HashSet<>();
    for (EntryVmId lost : FLEET.subList(0, 27)) {
      first.add(TakeoverCandidates.of(lost, remaining).get(0));
    }

    assertThat(first.size()).isAtLeast(15);
  }

  @Test
  void areAllDaemonsOfSmallFleet() {
    ImmutableList<EntryVmId> two = ImmutableList.copyOf(FLEET.subList(0, 2));

    assertThat(TakeoverCandidates.of(EntryVmId.of("lost"), two)).containsExactlyElementsIn(two);
  }
}
