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
 * Random sessions of one trainer with two entry VMs. The trainer's ledger is the judge: no slot is
 * doubled, lost, labelled with a version that did not run, or older than the bound.
 */
class DeliveryPropertyTest {
  private static final int MAX_ACTIONS = 60;

  @SuppressWarnings("ImmutableEnumChecker")
  private enum ActionKind {
    PULL((world, n) -> world.pull(n % 2, 1 + n % 3)),
    DELIVER_PAGE((world, n) -> world.deliverPage()),
    ABANDON_PULL((world, n) -> world.keepLate()),
    DELIVER_LATE_PAGE((world, n) -> world.deliverLatePage()),
    GENERATE_TOKEN((world, n) -> world.engines(n % 2).generateToken()),
    FINISH((world, n) -> onRunning(world, n, FakeEngines::finish)),
    FINISH_UNVERSIONED((world, n) -> onRunning(world, n, FakeEngines::finishUnversioned)),
    FINISH_TRUNCATED((world, n) -> onRunning(world, n, FakeEngines::finishTruncated)),
    LOSE((world, n) -> onRunning(world, n, FakeEngines::lose)),
    REFUSE((world, n) -> world.engines(n % 2).setRefusing(n % 4 < 2)),
    NEW_VERSION((world, n) -> world.newVersion()),
    CRASH_OWNER((world, n) -> world.crash(n % 2)),
    CUT_LINK((world, n) -> world.setLinked(false)),
    HEAL_LINK((world, n) -> world.setLinked(true)),
    SUBMIT_AGAIN((world, n) -> world.submit(n % 2)),
    CHECKPOINT((world, n) -> world.trainer.saveCheckpoint()),
    RESTART_TRAINER((world, n) -> world.restartTrainer()),
    FORGE_TOKEN((world, n) -> pullWithForgedToken(world, n)),
    WAIT((world, n) -> world.timers.advance(Duration.ofMillis(20L * (1 + n))));

    private final BiConsumer<DeliveryWorld, Integer> effect;

    ActionKind(BiConsumer<DeliveryWorld, Integer> effect) {
      this.effect = effect;
    }
  }

  private record Action(ActionKind kind, int number) {}

  private static void onRunning(
      DeliveryWorld world, int number, BiConsumer<FakeEngines, Integer> effect) {
    FakeEngines engines = world.engines(number % 2);
    if (engines.running() > 0) {
      effect.accept(engines, number);
    }
  }

  private static void pullWithForgedToken(DeliveryWorld world, int number) {
    String token = TestTokens.codec("k2").encode(forged());
    List<Result<Page>> answers = new ArrayList<>();
    world.pullWithToken(number % 2, token, answers::add);
    assertThat(answers).hasSize(1);
    assertThat(((Result.Failure<Page>) answers.get(0)).error().code())
        .isEqualTo(ResultCode.INVALID_TOKEN);
  }

  private static DeliveryToken forged() {
    DeliveryWorld other = new DeliveryWorld();
    Result<DeliveryToken> own = TestTokens.codec("k1").decode(other.trainer.token());
    return ((Result.Success<DeliveryToken>) own).value();
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
    DeliveryWorld world = new DeliveryWorld();

    for (Action action : session) {
      action.kind().effect.accept(world, action.number());
    }

    world.finish();
  }
}
