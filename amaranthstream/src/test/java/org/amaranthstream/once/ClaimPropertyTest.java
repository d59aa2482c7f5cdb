package org.amaranthstream.once;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.amaranthstream.platform.FaultyKeyValueStore.Fault;

/**
 * Random sessions of callers that send the same keys to two entry VMs. The backend server's ledger
 * is the judge: no key runs twice, and without a restart each runs in the end.
 */
class ClaimPropertyTest {
  private static final int MAX_ACTIONS = 50;

  @SuppressWarnings("ImmutableEnumChecker")
  private enum ActionKind {
    SEND((world, n) -> world.send(n % ClaimWorld.KEYS, n % ClaimWorld.VMS)),
    ISSUE_KEY((world, n) -> world.issueKey(n % ClaimWorld.KEYS, n % ClaimWorld.VMS)),
    FINISH_RUNNING((world, n) -> world.backend.finishAll()),
    REFUSE((world, n) -> world.backend.setRefusing(n % 2 == 0)),
    OUTAGE((world, n) -> world.store.setFault(n % 2 == 0 ? Fault.OUTAGE : Fault.NONE)),
    LOSE_BEFORE((world, n) -> world.store.failNext(Fault.LOST_BEFORE)),
    LOSE_AFTER((world, n) -> world.store.failNext(Fault.LOST_AFTER)),
    LOSE_ALL_ANSWERS((world, n) -> world.store.setFault(Fault.LOST_AFTER)),
    HOLD_NEXT((world, n) -> world.store.failNext(Fault.HELD)),
    LET_GO((world, n) -> world.store.completeOldestHeldCall()),
    STALE_READS((world, n) -> world.store.setStaleReads(n % 2 == 0)),
    RESTART((world, n) -> world.restart(n % ClaimWorld.VMS)),
    CUT_LINK((world, n) -> world.setLinked(n % 2 == 0)),
    LOSE_ORDER_ANSWERS((world, n) -> world.setOrderAnswersLost(n % 2 == 0)),
    WAIT((world, n) -> world.timers.advance(Duration.ofMillis(30L * (1 + n * n))));

    private final BiConsumer<ClaimWorld, Integer> effect;

    ActionKind(BiConsumer<ClaimWorld, Integer> effect) {
      this.effect = effect;
    }
  }

  private record Action(ActionKind kind, int number) {}

  @Provide
  Arbitrary<List<Action>> sessions() {
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 11);
    Arbitrary<ActionKind> kinds =
        Arbitraries.frequencyOf(
            Tuple.of(2, Arbitraries.of(ActionKind.SEND, ActionKind.WAIT)),
            Tuple.of(3, Arbitraries.of(ActionKind.class)));
    return Combinators.combine(kinds, numbers).as(Action::new).list().ofMaxSize(MAX_ACTIONS);
  }

  @Property(tries = 5_000, seed = "43")
  void eachKeyRunsAtMostOnce(@ForAll("sessions") List<Action> session) {
    ClaimWorld world = new ClaimWorld();

    for (Action action : session) {
      action.kind().effect.accept(world, action.number());
      world.checkAtMostOnce();
    }

    world.finish();
  }
}
