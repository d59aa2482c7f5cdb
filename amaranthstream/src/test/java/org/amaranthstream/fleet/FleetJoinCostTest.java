package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * The work that each daemon does when all daemons of a fleet start within seconds, in fleets of two
 * sizes. With one event and one line for each other daemon, both grow with the square of the fleet.
 */
class FleetJoinCostTest {
  private static final int ZONES = 6;
  private static final int SMALL = 30;
  private static final int LARGE = 300;
  private static final Duration START = Duration.ofSeconds(2);

  /** The work of a daemon grows by less than a tenth from 30 to 300 daemons. */
  private static final double MAX_GROWTH = 1.1;

  private record Cost(double notifications, double lines) {}

  private static Cost costOfStart(int daemons) {
    LineCounter lines = new LineCounter();
    Logger logger = Logger.getLogger("org.amaranthstream.fleet");
    logger.addHandler(lines);
    try {
      ZoneWatchFixture fleet = new ZoneWatchFixture(ZONES, daemons / ZONES, START);
      fleet.run(START.plusSeconds(6));
      int notifications = 0;
      for (ZoneWatchFixture.Node node : fleet.nodes()) {
        assertWithMessage("%s", node.vm()).that(node.changes().joined()).isEqualTo(daemons);
        notifications += node.changes().changes().size();
      }
      return new Cost((double) notifications / daemons, (double) lines.count / daemons);
    } finally {
      logger.removeHandler(lines);
    }
  }

  private static final class LineCounter extends Handler {
    private int count;

    @Override
    public void publish(LogRecord entry) {
      if (entry.getLevel().intValue() >= Level.INFO.intValue()
          && entry.getMessage().contains("event=node")) {
        count++;
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  @Test
  void ofStartDoesNotGrowWithTheFleet() {
    Cost small = costOfStart(SMALL);
    Cost large = costOfStart(LARGE);

    assertThat(large.notifications()).isAtMost(small.notifications() * MAX_GROWTH);
    assertThat(large.lines()).isAtMost(small.lines() * MAX_GROWTH);
  }

  @Nested
  class Batch {
    private final VirtualTimerService timers = VirtualTimerService.create();
    private final SimulatedStore store = new SimulatedStore(timers);
    private final RecordedFleetChanges changes = new RecordedFleetChanges();
    private final Fleet fleet = Fleet.create(store.client(), timers);

    private FleetNode node(String vm, String incarnation) {
      return new FleetNode(
          EntryVmId.of(vm),
          Incarnation.of(incarnation),
          "10.0.0.1",
          7000,
          AvailabilityZoneId.of("a"),
          RegionId.of("r"));
    }

    private void register(FleetNode node) {
      store.put(FleetKeys.node(node.vm()), node.encode());
    }

    private void start() {
      fleet.addListener(changes);
      fleet.start();
      timers.advance(Duration.ofSeconds(1));
    }

    @Test
    void namesAllDaemonsOfTheFirstListOnce() {
      FleetNode first = node("vm-1", "i1");
      FleetNode second = node("vm-2", "i1");
      register(first);
      register(second);
      start();

      assertThat(changes.changes())
          .containsExactly(new NodesChange(ImmutableList.of(first, second), ImmutableList.of()));
    }

    @Test
    void namesEachIncarnationThatWasLost() {
      FleetNode before = node("vm-1", "i1");
      register(before);
      start();
      // The first change ends the watch; the next two arrive together.
      register(node("vm-2", "i1"));
      timers.advance(Duration.ofMillis(20));
      changes.changes().clear();
      FleetNode brief = node("vm-1", "i2");
      FleetNode now = node("vm-1", "i3");
      register(brief);
      register(now);
      timers.advance(Duration.ofSeconds(1));

      assertThat(changes.changes()).hasSize(1);
      assertThat(changes.changes().get(0).lost()).isEqualTo(List.of(before, brief));
      assertThat(changes.changes().get(0).joined()).isEqualTo(List.of(now));
    }

    @Test
    void doesNotReportRegistrationThatWasRenewedInTheSameBatchAsLost() {
      FleetNode self = node("vm-1", "i1");
      register(self);
      start();
      register(node("vm-2", "i1"));
      timers.advance(Duration.ofMillis(20));
      changes.changes().clear();
      store.remove(FleetKeys.node(self.vm()));
      register(self);
      timers.advance(Duration.ofSeconds(1));

      assertThat(changes.changes()).hasSize(1);
      assertThat(changes.changes().get(0).hasLost(self)).isFalse();
      assertThat(fleet.isRegistered(self.vm(), self.incarnation())).isTrue();
    }
  }
}
