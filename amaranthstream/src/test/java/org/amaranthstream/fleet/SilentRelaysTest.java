package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.amaranthstream.platform.MirrorTiming;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to servers that left while the relays of a zone had lost the store: a
 * daemon that reaches the store must not rely on relays that receive nothing.
 */
class SilentRelaysTest {
  /** A daemon that reaches the store stops sending requests to a leaving server within this. */
  private static final Duration MAX_DELAY = Duration.ofMillis(2_500);

  private static final Duration STEP = Duration.ofMillis(50);
  private static final MirrorTiming TIMING =
      MirrorTiming.of(Duration.ofMillis(1_500), Duration.ofMillis(700));

  /** Returns a zone of three daemons that has started. */
  private static ZoneWatchFixture started() {
    ZoneWatchFixture fleet = new ZoneWatchFixture(1, 3, Duration.ZERO, TIMING);
    fleet.run(Duration.ofSeconds(12));
    fleet.write(1);
    return fleet;
  }

  /** Loses relays at each phase of their watches, right before a change. */
  private static void assertFollowersSeeChangeInTime(Consumer<List<ZoneWatchFixture.Node>> loss) {
    for (int step = 0; step < 64; step++) {
      ZoneWatchFixture fleet = started();
      final List<ZoneWatchFixture.Node> followers = fleet.followers();
      Duration phase = STEP.multipliedBy(step);
      fleet.run(phase);
      loss.accept(fleet.relays());
      fleet.run(Duration.ofMillis(1));
      fleet.write(2);
      fleet.run(MAX_DELAY);

      for (ZoneWatchFixture.Node follower : followers) {
        assertWithMessage("%s, relays lost after %s", follower.vm(), phase)
            .that(follower.latest())
            .isEqualTo(2);
      }
    }
  }

  /** Loses daemons of a fleet with roots, right before a change that the others must see. */
  private static void assertOthersSeeChangeInTime(Predicate<ZoneWatchFixture.Node> isLost) {
    for (int step = 0; step < 64; step++) {
      ZoneWatchFixture fleet = new ZoneWatchFixture(4, 3, Duration.ZERO, TIMING);
      fleet.run(Duration.ofSeconds(12));
      fleet.write(1);
      List<ZoneWatchFixture.Node> lost = fleet.nodes().stream().filter(isLost).toList();
      Duration phase = STEP.multipliedBy(step);
      fleet.run(phase);
      lost.forEach(node -> node.store().setSilent(true));
      fleet.run(Duration.ofMillis(1));
      fleet.write(2);
      fleet.run(MAX_DELAY);

      for (ZoneWatchFixture.Node node : fleet.nodes()) {
        if (!lost.contains(node)) {
          assertWithMessage("%s, lost after %s", node.vm(), phase).that(node.latest()).isEqualTo(2);
        }
      }
    }
  }

  @Test
  void thatLoseTheStoreSilentlyAsRootsDoNotHideChanges() {
    assertOthersSeeChangeInTime(ZoneWatchFixture.Node::isRoot);
  }

  @Test
  void thatLoseTheStoreSilentlyTogetherWithTheRootsDoNotHideChanges() {
    assertOthersSeeChangeInTime(node -> node.isRoot() || node.isRelay());
  }

  @Test
  void thatLoseTheStoreSilentlyDoNotHideChanges() {
    assertFollowersSeeChangeInTime(
        relays -> relays.forEach(relay -> relay.store().setSilent(true)));
  }

  @Test
  void ofWhichOneIsSuspendedDoNotHideChanges() {
    assertFollowersSeeChangeInTime(
        relays -> {
          relays.get(0).store().setSilent(true);
          relays.get(1).pause();
        });
  }

  @Test
  void thatAreSuspendedDoNotHideChanges() {
    assertFollowersSeeChangeInTime(relays -> relays.forEach(ZoneWatchFixture.Node::pause));
  }

  @Test
  void thatAreCutOffFromTheirZoneDoNotHideChanges() {
    assertFollowersSeeChangeInTime(relays -> relays.forEach(relay -> relay.cutLinks(true)));
  }
}
