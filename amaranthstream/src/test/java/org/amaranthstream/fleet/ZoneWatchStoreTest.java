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

/** Watches of the store through the relays of each zone, with relays that fail in several ways. */
class ZoneWatchStoreTest {
  private static final Duration START = Duration.ofSeconds(12);

  /** A daemon in touch with the store applies a configuration within this time. */
  private static final Duration MAX_DELAY = Duration.ofMillis(4_000);

  private static ZoneWatchFixture started(int zones, int perZone) {
    ZoneWatchFixture fleet = new ZoneWatchFixture(zones, perZone);
    fleet.run(START);
    fleet.write(1);
    fleet.run(Duration.ofSeconds(5));
    return fleet;
  }

  private static long callsPerSecondAndDaemon(ZoneWatchFixture fleet) {
    int before = fleet.store().calls();
    fleet.run(Duration.ofSeconds(60));
    return Math.round((fleet.store().calls() - before) / 60.0);
  }

  @Nested
  class Calls {
    /**
     * Renewals of the registration are one call each 900 ms. Apart from them, the calls of a quiet
     * minute depend on the number of zones only.
     */
    @Test
    void ofQuietMinuteDoNotGrowWithTheDaemonsOfZone() {
      ZoneWatchFixture small = started(3, 4);
      ZoneWatchFixture large = started(3, 20);
      long renewalsSmall = Math.round(12 / 0.9);
      long renewalsLarge = Math.round(60 / 0.9);

      long small1 = callsPerSecondAndDaemon(small) - renewalsSmall;
      long large1 = callsPerSecondAndDaemon(large) - renewalsLarge;

      assertThat(large1).isAtMost(small1 + 1);
    }

    @Test
    void ofChangeAreMadeByRelaysOnly() {
      ZoneWatchFixture fleet = started(2, 15);
      long quiet = callsPerSecondAndDaemon(fleet);
      int before = fleet.store().calls();
      for (int i = 2; i < 62; i++) {
        fleet.write(i);
        fleet.run(Duration.ofSeconds(1));
      }

      long withChanges = Math.round((fleet.store().calls() - before) / 60.0);
      assertThat(withChanges - quiet).isAtMost(2 * 2 + 1);
    }
  }

  @Nested
  class Delivery {
    private final ZoneWatchFixture fleet = started(1, 6);

    private void assertAllFollow(Iterable<ZoneWatchFixture.Node> nodes) {
      fleet.write(2);
      fleet.run(MAX_DELAY);
      for (ZoneWatchFixture.Node node : nodes) {
        assertWithMessage("%s", node.vm()).that(node.latest()).isEqualTo(2);
      }
    }

    @Test
    void takesLessThanOneHundredMillisecondsWhileTheRelaysWork() {
      fleet.write(2);
      fleet.run(Duration.ofMillis(100));

      for (ZoneWatchFixture.Node node : fleet.nodes()) {
        assertThat(node.latest()).isEqualTo(2);
      }
    }

    @Test
    void isNotDelayedByOneSuspendedRelay() {
      fleet.relays().get(0).pause();
      fleet.write(2);
      fleet.run(Duration.ofMillis(100));

      for (ZoneWatchFixture.Node node : fleet.followers()) {
        assertThat(node.latest()).isEqualTo(2);
      }
    }

    @Test
    void reachesFollowersOfTwoSuspendedRelays() {
      List<ZoneWatchFixture.Node> followers = fleet.followers();
      fleet.relays().forEach(ZoneWatchFixture.Node::pause);

      assertAllFollow(followers);
    }

    @Test
    void reachesFollowersThatAreCutOffFromTheRelays() {
      List<ZoneWatchFixture.Node> followers = fleet.followers();
      fleet.relays().forEach(relay -> relay.cutLinks(true));

      assertAllFollow(followers);
    }

    @Test
    void reachesFollowersOfRelaysThatTheStoreRejects() {
      List<ZoneWatchFixture.Node> followers = fleet.followers();
      fleet.relays().forEach(relay -> relay.store().setRefused(true));

      assertAllFollow(followers);
    }

    @Test
    void reachesFollowerThatIsCutOffFromTheStore() {
      ZoneWatchFixture.Node follower = fleet.followers().get(0);
      follower.store().setSilent(true);

      assertAllFollow(List.of(follower));
    }

    @Test
    void includesChangesOfTheTimeInWhichDaemonWasSuspended() {
      ZoneWatchFixture.Node follower = fleet.followers().get(0);
      follower.pause();
      fleet.write(2);
      fleet.run(Duration.ofSeconds(20));
      follower.resume();
      fleet.run(MAX_DELAY);

      assertThat(follower.latest()).isEqualTo(2);
    }

    @Test
    void continuesAfterTheStoreHasLostItsHistory() {
      fleet.store().compactHistory();

      assertAllFollow(fleet.nodes());
    }
  }

  /** Random faults of relays and followers, alone and together. */
  @Property(tries = 40, seed = "20261204")
  void noDaemonGoesBackAndAllFollowOnceFaultsEnd(@ForAll long seed) {
    Random random = new Random(seed);
    ZoneWatchFixture fleet = started(2, 5);
    long value = 1;
    for (int step = 0; step < 30; step++) {
      ZoneWatchFixture.Node node = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
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
