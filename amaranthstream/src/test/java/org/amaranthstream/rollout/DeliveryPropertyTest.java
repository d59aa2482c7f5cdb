package org.amaranthstream.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Random sessions of one trainer with two entry VMs. {@link FakeTrainer} checks that no slot is
 * duplicated, lost, labelled with a version that did not generate it, or older than the bound.
 */
class DeliveryPropertyTest {
  private static final int MAX_ACTIONS = 60;

  @SuppressWarnings("ImmutableEnumChecker")
  private enum ActionKind {
    PULL((harness, n) -> harness.pull(n % 2, 1 + n % 3)),
    DELIVER_PAGE((harness, n) -> harness.deliverPage()),
    TIME_OUT_PULL((harness, n) -> harness.delayPages()),
    DELIVER_LATE_PAGE((harness, n) -> harness.deliverLatePage()),
    GENERATE_TOKEN((harness, n) -> harness.engines(n % 2).generateToken()),
    FINISH((harness, n) -> onRunning(harness, n, FakeEngines::finish)),
    FINISH_UNVERSIONED((harness, n) -> onRunning(harness, n, FakeEngines::finishUnversioned)),
    FINISH_TRUNCATED((harness, n) -> onRunning(harness, n, FakeEngines::finishTruncated)),
    CRASH_RUN((harness, n) -> onRunning(harness, n, FakeEngines::crashRun)),
    SET_REJECTING((harness, n) -> harness.engines(n % 2).setRejecting(n % 4 < 2)),
    NEW_VERSION((harness, n) -> harness.newVersion()),
    CRASH_OWNER((harness, n) -> harness.crash(n % 2)),
    DISCONNECT_VMS((harness, n) -> harness.setLinked(false)),
    RECONNECT_VMS((harness, n) -> harness.setLinked(true)),
    SUBMIT_AGAIN((harness, n) -> harness.submit(n % 2)),
    CHECKPOINT((harness, n) -> harness.trainer.saveCheckpoint()),
    RESTART_TRAINER((harness, n) -> harness.restartTrainer()),
    FORGE_TOKEN((harness, n) -> pullWithForgedToken(harness, n)),
    WAIT((harness, n) -> harness.timers.advance(Duration.ofMillis(20L * (1 + n))));

    private final BiConsumer<DeliveryHarness, Integer> effect;

    ActionKind(BiConsumer<DeliveryHarness, Integer> effect) {
      this.effect = effect;
    }
  }

  private record Action(ActionKind kind, int number) {}

  private static void onRunning(
      DeliveryHarness harness, int number, BiConsumer<FakeEngines, Integer> effect) {
    FakeEngines engines = harness.engines(number % 2);
    if (engines.running() > 0) {
      effect.accept(engines, number);
    }
  }

  private static void pullWithForgedToken(DeliveryHarness harness, int number) {
    String token = TestTokens.codec("k2").encode(forged());
    List<Result<Page>> results = new ArrayList<>();
    harness.pullWithToken(number % 2, token, results::add);
    assertThat(results).hasSize(1);
    assertThat(((Result.Failure<Page>) results.get(0)).error().code())
        .isEqualTo(ResultCode.INVALID_TOKEN);
  }

  private static DeliveryToken forged() {
    DeliveryHarness other = new DeliveryHarness();
    Result<DeliveryToken> genuine = TestTokens.codec("k1").decode(other.trainer.token());
    return ((Result.Success<DeliveryToken>) genuine).value();
  }

  @Provide
  Arbitrary<List<Action>> sessions() {
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 11);
    Arbitrary<ActionKind> kinds =
        Arbitraries.frequencyOf(
            Tuple.of(
                3,
                Arbitraries.of(
                    ActionKind.PULL,
                    ActionKind.DELIVER_PAGE,
                    ActionKind.FINISH,
                    ActionKind.NEW_VERSION,
                    ActionKind.GENERATE_TOKEN)),
            Tuple.of(2, Arbitraries.of(ActionKind.class)));
    return Combinators.combine(kinds, numbers).as(Action::new).list().ofMaxSize(MAX_ACTIONS);
  }

  @Property(tries = 4_000, seed = "41")
  void eachSlotReachesTheTrainerOnce(@ForAll("sessions") List<Action> session) {
    DeliveryHarness harness = new DeliveryHarness();

    for (Action action : session) {
      action.kind().effect.accept(harness, action.number());
    }

    harness.finish();
  }
}
