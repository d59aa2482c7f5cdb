package org.amaranthstream.weights;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.amaranthstream.platform.FaultyKeyValueStore.Fault;

/**
 * Property test of two competing controllers under random faults. Each controller runs only on its
 * own ticks, so a session may pause it for any time. The engines count orders that lowered their
 * version.
 */
class FencingPropertyTest {
  private static final int MAX_ACTIONS = 80;

  @SuppressWarnings("ImmutableEnumChecker")
  private enum ActionKind {
    TICK((simulation, n) -> simulation.tick(n % ControllerSimulation.CONTROLLERS)),
    TICK_AGAIN((simulation, n) -> simulation.tick(n % ControllerSimulation.CONTROLLERS)),
    WRITE_ORDER(ControllerSimulation::writeOrder),
    DELIVER_ORDER(ControllerSimulation::deliverOrder),
    NEW_VERSION(
        (simulation, n) -> simulation.announceNewVersion(n % ControllerSimulation.CONTROLLERS)),
    OBSERVE_NEWEST(
        (simulation, n) -> simulation.observeNewest(n % ControllerSimulation.CONTROLLERS)),
    REPORT((simulation, n) -> simulation.engines.get(n % 2).report()),
    FAIL_SWAPS((simulation, n) -> simulation.engines.get(n % 2).setFailing(n % 4 < 2)),
    OUTAGE((simulation, n) -> simulation.store.setFault(n % 2 == 0 ? Fault.OUTAGE : Fault.NONE)),
    LOSE_REQUEST((simulation, n) -> simulation.store.failNext(Fault.LOST_BEFORE)),
    LOSE_REPLY((simulation, n) -> simulation.store.failNext(Fault.LOST_AFTER)),
    DELAY_NEXT_WRITE((simulation, n) -> simulation.store.failNext(Fault.HELD)),
    APPLY_DELAYED_WRITE((simulation, n) -> simulation.store.completeOldestHeldCall()),
    STALE_READS((simulation, n) -> simulation.store.setStaleReads(n % 2 == 0)),
    WAIT((simulation, n) -> simulation.timers.advance(Duration.ofSeconds(n))),
    WAIT_PAST_LEASE((simulation, n) -> simulation.timers.advance(Duration.ofSeconds(11)));

    private final BiConsumer<ControllerSimulation, Integer> effect;

    ActionKind(BiConsumer<ControllerSimulation, Integer> effect) {
      this.effect = effect;
    }
  }

  private record Action(ActionKind kind, int number) {}

  @Provide
  Arbitrary<List<Action>> sessions() {
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 7);
    Arbitrary<ActionKind> kinds = Arbitraries.of(ActionKind.class);
    return Combinators.combine(kinds, numbers).as(Action::new).list().ofMaxSize(MAX_ACTIONS);
  }

  @Property(tries = 5_000, seed = "47")
  void noOrderLowersServersIfDeliveryIsImmediate(@ForAll("sessions") List<Action> session) {
    ControllerSimulation simulation = new ControllerSimulation(false);

    for (Action action : session) {
      action.kind().effect.accept(simulation, action.number());
      simulation.engines.forEach(FakeEngine::assertNeverLowered);
    }

    simulation.recoverAndCheckVersions();
  }

  @Property(tries = 5_000, seed = "53")
  void noLateOrderLowersServersThatCheckFencing(@ForAll("sessions") List<Action> session) {
    ControllerSimulation simulation = new ControllerSimulation(true);

    for (Action action : session) {
      action.kind().effect.accept(simulation, action.number());
      simulation.engines.get(0).assertNeverLowered();
    }

    simulation.recoverAndCheckVersions();
  }
}
