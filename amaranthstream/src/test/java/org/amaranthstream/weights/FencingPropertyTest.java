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
 * Random sessions of two controllers, each paused while a session does not let it work. The engines
 * count orders that lowered their version.
 */
class FencingPropertyTest {
  private static final int MAX_ACTIONS = 80;

  @SuppressWarnings("ImmutableEnumChecker")
  private enum ActionKind {
    TICK((world, n) -> world.tick(n % ControllerWorld.CONTROLLERS)),
    TICK_AGAIN((world, n) -> world.tick(n % ControllerWorld.CONTROLLERS)),
    WRITE(ControllerWorld::write),
    ARRIVE(ControllerWorld::arrive),
    NEW_VERSION((world, n) -> world.newVersion(n % ControllerWorld.CONTROLLERS)),
    LEARN((world, n) -> world.learn(n % ControllerWorld.CONTROLLERS)),
    REPORT((world, n) -> world.engines.get(n % 2).report()),
    FAIL_SWAPS((world, n) -> world.engines.get(n % 2).setFailing(n % 4 < 2)),
    OUTAGE((world, n) -> world.store.setFault(n % 2 == 0 ? Fault.OUTAGE : Fault.NONE)),
    LOSE_BEFORE((world, n) -> world.store.failNext(Fault.LOST_BEFORE)),
    LOSE_AFTER((world, n) -> world.store.failNext(Fault.LOST_AFTER)),
    HOLD_NEXT((world, n) -> world.store.failNext(Fault.HELD)),
    LET_GO((world, n) -> world.store.completeOldestHeldCall()),
    STALE_READS((world, n) -> world.store.setStaleReads(n % 2 == 0)),
    WAIT((world, n) -> world.timers.advance(Duration.ofSeconds(n))),
    WAIT_PAST_LEASE((world, n) -> world.timers.advance(Duration.ofSeconds(11)));

    private final BiConsumer<ControllerWorld, Integer> effect;

    ActionKind(BiConsumer<ControllerWorld, Integer> effect) {
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
  void noOrderLowersServersThatGetItAsItIsWritten(@ForAll("sessions") List<Action> session) {
    ControllerWorld world = new ControllerWorld(false);

    for (Action action : session) {
      action.kind().effect.accept(world, action.number());
      world.engines.forEach(FakeEngine::assertNeverLowered);
    }

    world.finish();
  }

  @Property(tries = 5_000, seed = "53")
  void noLateOrderLowersServersThatCheckFencing(@ForAll("sessions") List<Action> session) {
    ControllerWorld world = new ControllerWorld(true);

    for (Action action : session) {
      action.kind().effect.accept(world, action.number());
      world.engines.get(0).assertNeverLowered();
    }

    world.finish();
  }
}
