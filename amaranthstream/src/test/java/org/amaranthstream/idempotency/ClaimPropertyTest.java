package org.amaranthstream.idempotency;

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
 * Property test that sends the same keys to two entry VMs in random order, with faults of the
 * store, the peer link and the entry VMs.
 *
 * <p>By the counts of the backend server, no key runs more than once. If no entry VM was restarted,
 * each key has run once after the faults end.
 */
class ClaimPropertyTest {
  private static final int MAX_ACTIONS = 50;

  @SuppressWarnings("ImmutableEnumChecker")
  private enum ActionKind {
    SEND((cluster, n) -> cluster.send(n % ClaimTestCluster.KEYS, n % ClaimTestCluster.VMS)),
    ISSUE_KEY(
        (cluster, n) -> cluster.issueKey(n % ClaimTestCluster.KEYS, n % ClaimTestCluster.VMS)),
    FINISH_RUNNING((cluster, n) -> cluster.backend.finishAll()),
    REFUSE((cluster, n) -> cluster.backend.setRefusing(n % 2 == 0)),
    OUTAGE((cluster, n) -> cluster.store.setFault(n % 2 == 0 ? Fault.OUTAGE : Fault.NONE)),
    LOSE_BEFORE((cluster, n) -> cluster.store.failNext(Fault.LOST_BEFORE)),
    LOSE_AFTER((cluster, n) -> cluster.store.failNext(Fault.LOST_AFTER)),
    LOSE_ALL_REPLIES((cluster, n) -> cluster.store.setFault(Fault.LOST_AFTER)),
    HOLD_NEXT((cluster, n) -> cluster.store.failNext(Fault.HELD)),
    COMPLETE_HELD((cluster, n) -> cluster.store.completeOldestHeldCall()),
    STALE_READS((cluster, n) -> cluster.store.setStaleReads(n % 2 == 0)),
    RESTART((cluster, n) -> cluster.restart(n % ClaimTestCluster.VMS)),
    CUT_LINK((cluster, n) -> cluster.setLinked(n % 2 == 0)),
    LOSE_FORWARD_REPLIES((cluster, n) -> cluster.setForwardRepliesLost(n % 2 == 0)),
    WAIT((cluster, n) -> cluster.timers.advance(Duration.ofMillis(30L * (1 + n * n))));

    private final BiConsumer<ClaimTestCluster, Integer> effect;

    ActionKind(BiConsumer<ClaimTestCluster, Integer> effect) {
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
    ClaimTestCluster cluster = new ClaimTestCluster();

    for (Action action : session) {
      action.kind().effect.accept(cluster, action.number());
      cluster.checkAtMostOnce();
    }

    cluster.finish();
  }
}
