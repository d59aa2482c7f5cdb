package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Ordering;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Watches of the store in a fleet of many zones, whose relays watch through two of them. */
class ZoneWatchRootsTest {
  private static final int ZONES = 6;
  private static final Duration WATCH_WAIT = Duration.ofMillis(1_500);
  private static final Duration START = Duration.ofSeconds(12);

  /** The shortest time in which a change of the configuration must be in force everywhere. */
  private static final Duration MAX_DELAY = Duration.ofMillis(2_500);

  private static ZoneWatchFixture started(int zones, int perZone) {
    ZoneWatchFixture fleet = new ZoneWatchFixture(zones, perZone, Duration.ZERO, WATCH_WAIT);
    fleet.run(START);
    fleet.write(1);
    fleet.run(Duration.ofSeconds(5));
    return fleet;
  }

  /** Returns the calls apart from the renewals of the registrations, which are one each 900 ms. */
  private static double watchesPerSecond(ZoneWatchFixture fleet) {
    int before = fleet.store().calls();
    fleet.run(Duration.ofSeconds(90));
    int renewals = 100 * fleet.nodes().size();
    return (fleet.store().calls() - before - renewals) / 90.0;
  }

  @Test
  void doNotGrowWithTheZones() {
    double small = watchesPerSecond(started(ZONES, 5));
    double large = watchesPerSecond(started(10 * ZONES, 5));

    assertThat(large).isAtMost(small * 1.1);
    assertThat(small).isAtMost(4);
  }

  @Test
  void areMadeByDaemonsOfTwoZones() {
    List<ZoneWatchFixture.Node> roots = started(ZONES, 5).roots();

    assertThat(roots).hasSize(2);
    assertThat(roots.get(0).zone()).isNotEqualTo(roots.get(1).zone());
  }

  @Nested
  class Delivery {
    private final ZoneWatchFixture fleet = started(ZONES, 5);
    private final List<ZoneWatchFixture.Node> roots = fleet.roots();
    private final List<ZoneWatchFixture.Node> others =
        fleet.nodes().stream().filter(node -> !roots.contains(node)).toList();

    private void assertAllFollow(List<ZoneWatchFixture.Node> nodes, Duration bound) {
      fleet.write(2);
      fleet.run(bound);
      for (ZoneWatchFixture.Node node : nodes) {
        assertWithMessage("%s", node.vm()).that(node.latest()).isEqualTo(2);
      }
    }

    @Test
    void takesLessThanOneHundredMillisecondsWhileTheRootsWork() {
      assertAllFollow(fleet.nodes(), Duration.ofMillis(100));
    }

    @Test
    void isNotDelayedByOneSuspendedRoot() {
      roots.get(0).pause();

      assertAllFollow(others, Duration.ofMillis(100));
    }

    @Test
    void reachesAllOthersIfTheRootsAreSuspended() {
      roots.forEach(ZoneWatchFixture.Node::pause);

      assertAllFollow(others, MAX_DELAY);
    }

    @Test
    void reachesAllOthersIfTheRootsAreSuspendedForLong() {
      roots.forEach(ZoneWatchFixture.Node::pause);
      fleet.run(Duration.ofSeconds(10));

      assertAllFollow(others, MAX_DELAY);
    }

    @Test
    void reachesAllOthersIfTheRootsAreCutOff() {
      roots.forEach(root -> root.cutLinks(true));

      assertAllFollow(fleet.nodes(), MAX_DELAY);
    }

    @Test
    void reachesAllOthersIfTheStoreRejectsTheRoots() {
      roots.forEach(root -> root.store().setRefused(true));

      assertAllFollow(others, MAX_DELAY);
    }

    @Test
    void reachesAllOthersIfTheStoreDoesNotRespondToTheRoots() {
      roots.forEach(root -> root.store().setSilent(true));

      assertAllFollow(others, MAX_DELAY);
    }
  }

  /** Random faults; roots and relays are chosen more often than chance would. */
  @Property(tries = 20, seed = "20261204")
  void noDaemonGoesBackAndAllFollowOnceFaultsEnd(@ForAll long seed) {
    Random random = new Random(seed);
    ZoneWatchFixture fleet = started(4, 4);
    long value = 1;
    for (int step = 0; step < 40; step++) {
      List<ZoneWatchFixture.Node> from =
          switch (random.nextInt(3)) {
            case 0 -> fleet.roots();
            case 1 -> fleet.relays();
            default -> fleet.nodes();
          };
      ZoneWatchFixture.Node node =
          from.isEmpty() ? fleet.nodes().get(0) : from.get(random.nextInt(from.size()));
      switch (random.nextInt(7)) {
        case 0 -> node.pause();
        case 1 -> node.resume();
        case 2 -> node.store().setSilent(random.nextBoolean());
        case 3 -> node.store().setRefused(random.nextBoolean());
        case 4 -> node.cutLinks(random.nextBoolean());
        case 5 -> fleet.store().compactHistory();
        default -> fleet.write(++value);
      }
      fleet.run(Duration.ofMillis(random.nextInt(2_500)));
    }
    for (ZoneWatchFixture.Node node : fleet.nodes()) {
      node.resume();
      node.store().setSilent(false);
      node.store().setRefused(false);
      node.cutLinks(false);
    }
    fleet.write(++value);
    fleet.run(Duration.ofSeconds(8));

    for (ZoneWatchFixture.Node node : fleet.nodes()) {
      assertThat(Ordering.natural().isStrictlyOrdered(node.seen())).isTrue();
      assertWithMessage("%s", node.vm()).that(node.latest()).isEqualTo(value);
    }
  }
}
