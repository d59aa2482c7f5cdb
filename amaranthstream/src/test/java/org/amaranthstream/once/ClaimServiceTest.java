package org.amaranthstream.once;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.platform.FaultyKeyValueStore.Fault;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimServiceTest {
  private final ClaimWorld world = new ClaimWorld();
  private final List<Outcome> outcomes = new ArrayList<>();

  private static ResultCode codeOf(Outcome outcome) {
    if (outcome instanceof Outcome.NotRun notRun) {
      return notRun.error().code();
    }
    if (outcome instanceof Outcome.OutcomeUnknown unknown) {
      return unknown.error().code();
    }
    return ResultCode.OK;
  }

  private void send(String key, int vm) {
    world.send(key, "/order", vm, outcomes::add);
  }

  private ResultCode lastCode() {
    return codeOf(outcomes.get(outcomes.size() - 1));
  }

  @Nested
  class KeyOfCaller {
    private final String key = ClaimWorld.keyMadeAt(world.now());

    @Test
    void getsTheSameAnswerAgainFromAnyEntryVm() {
      send(key, 0);
      world.backend.finishAll();
      send(key, 0);
      send(key, 1);
      world.timers.advance(Duration.ofSeconds(1));

      assertThat(outcomes).hasSize(3);
      assertThat(outcomes.get(2)).isEqualTo(outcomes.get(0));
      assertThat(world.backend.runsOf("/order")).isEqualTo(1);
    }

    @Test
    void isToldThatItRuns() {
      send(key, 0);
      send(key, 1);
      world.timers.advance(Duration.ofSeconds(1));

      assertThat(lastCode()).isEqualTo(ResultCode.DUPLICATE_RUNNING);
    }

    @Test
    void runsAgainOnAnotherEntryVmAfterNotRun() {
      world.backend.setRefusing(true);
      send(key, 0);
      world.backend.setRefusing(false);
      world.timers.advance(Duration.ofSeconds(1));
      send(key, 1);
      world.timers.advance(Duration.ofSeconds(1));
      world.backend.finishAll();

      assertThat(outcomes.stream().map(ClaimServiceTest::codeOf).toList())
          .containsExactly(ResultCode.NOT_RUN_OVERLOADED, ResultCode.OK)
          .inOrder();
    }

    @Test
    void mayHaveRunWhenItsClaimantIsGone() {
      send(key, 0);
      world.restart(0);
      send(key, 1);
      world.timers.advance(Duration.ofSeconds(1));

      assertThat(lastCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN);
      assertThat(world.backend.runsOf("/order")).isEqualTo(1);
    }

    @Test
    void isRefusedAtOnceWhileTheStoreIsAway() {
      world.store.setFault(Fault.OUTAGE);
      send(key, 0);

      assertThat(lastCode()).isEqualTo(ResultCode.NOT_RUN_CLAIM_UNAVAILABLE);
      assertThat(((Outcome.NotRun) outcomes.get(0)).retryAfter()).isPresent();
    }

    @Test
    void isRefusedOnceItsClaimMayBeForgotten() {
      Duration window = ClaimLimits.defaults().window();
      send(ClaimWorld.keyMadeAt(world.now().minus(window).minusMillis(1)), 0);
      assertThat(lastCode()).isEqualTo(ResultCode.NOT_RUN_KEY_EXPIRED);

      send(ClaimWorld.keyMadeAt(world.now().plus(Duration.ofMinutes(2))), 0);
      assertThat(lastCode()).isEqualTo(ResultCode.INVALID_REQUEST);
    }
  }

  @Nested
  class KeyOfEntryVm {
    private final String key = world.claims(0).issueKey().text();

    @Test
    void runsOnceThereWhileTheStoreIsAway() {
      world.store.setFault(Fault.OUTAGE);
      send(key, 0);
      world.backend.finishAll();
      send(key, 0);

      assertThat(lastCode()).isEqualTo(ResultCode.OK);
      assertThat(world.backend.runsOf("/order")).isEqualTo(1);
    }

    @Test
    void isNotRunElsewhere() {
      send(key, 1);

      assertThat(lastCode()).isEqualTo(ResultCode.NOT_RUN_CLAIM_UNAVAILABLE);
    }

    @Test
    void isRunByNobodyOnceItsIssuerIsGone() {
      world.restart(0);
      send(key, 0);
      send(key, 1);

      assertThat(codeOf(outcomes.get(0))).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN);
      assertThat(lastCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN);
      assertThat(world.backend.runsOf("/order")).isEqualTo(0);
    }
  }

  @Nested
  class Pages {
    private static final int CLAIMS = 200;

    @Test
    void takeManyClaimsWithOneWrite() {
      for (int i = 0; i < CLAIMS; i++) {
        send(ClaimWorld.keyMadeAt(world.now().plusMillis(i)), 0);
      }
      world.timers.advance(Duration.ofMillis(200));

      assertThat(world.backend.runsOf("/order")).isEqualTo(CLAIMS);
      assertThat(world.store.writes()).isAtMost(2 * ClaimLimits.defaults().shards());
    }

    @Test
    void areDeletedTwoWindowsAfterTheirKeysExpired() {
      ClaimLimits limits = ClaimLimits.defaults();
      send(ClaimWorld.keyMadeAt(world.now()), 0);
      ClaimTrimmer trimmer =
          ClaimTrimmer.create(
              world.store, world::now, limits, any -> true, world.claims(0).counters());
      trimmer.start(world.timers);

      world.timers.advance(limits.window().multipliedBy(2));
      assertThat(world.claims(0).counters().count(ClaimEvent.PAGE_DELETED)).isEqualTo(0);
      world.timers.advance(limits.pageInterval().multipliedBy(4));

      assertThat(world.claims(0).counters().count(ClaimEvent.PAGE_DELETED)).isEqualTo(1);
    }
  }
}
