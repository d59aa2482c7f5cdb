package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.time.VirtualTimerService;

/** Two daemons that acquire one leader lease on a simulated store, in virtual time. */
abstract class LeaderLeaseFixture {
  static final Duration ORDER_TURN = Duration.ofSeconds(3);

  final VirtualTimerService timers = VirtualTimerService.create();
  final SimulatedStore store = new SimulatedStore(timers);
  final FleetTestNode first = new FleetTestNode("vm-1", "i1", store, timers);
  final FleetTestNode second = new FleetTestNode("vm-2", "i2", store, timers);
  final List<Act> acts = new ArrayList<>();
  final Set<FleetTestNode> killed = new HashSet<>();

  record Act(String vm, long atNanos, FencingNumber fence) {}

  void run(Duration duration) {
    timers.advance(duration);
  }

  void runSeconds(double seconds) {
    run(Duration.ofMillis((long) (seconds * 1000)));
  }

  /** Lets each node act every 100 ms whenever it is allowed to. */
  void actPeriodically(FleetTestNode... nodes) {
    for (FleetTestNode node : nodes) {
      timers.every(Duration.ofMillis(100), () -> act(node));
    }
  }

  void kill(FleetTestNode node) {
    killed.add(node);
    node.store().setSilent(true);
  }

  void act(FleetTestNode node) {
    if (killed.contains(node)) {
      return;
    }
    Optional<FencingNumber> fence = node.leaderLease().issueForAction();
    fence.ifPresent(
        number -> acts.add(new Act(node.self().vm().value(), timers.nowNanos(), number)));
  }

  void assertActsOfHoldersAreApart() {
    for (int i = 1; i < acts.size(); i++) {
      Act before = acts.get(i - 1);
      Act after = acts.get(i);
      if (!before.vm().equals(after.vm())) {
        assertThat(after.atNanos() - before.atNanos()).isAtLeast(ORDER_TURN.toNanos());
        assertThat(after.fence().value()).isGreaterThan(before.fence().value());
      }
    }
  }

  long distinctHolders() {
    return acts.stream().map(Act::vm).distinct().count();
  }
}
