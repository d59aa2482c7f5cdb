package org.amaranthstream.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.platform.FaultyKeyValueStore.Fault;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link ClaimService} with two entry VMs and a fake backend server. */
class ClaimServiceTest {
  private final ClaimTestCluster cluster = new ClaimTestCluster();
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
    cluster.send(key, "/order", vm, outcomes::add);
  }

  private ResultCode lastCode() {
    return codeOf(outcomes.get(outcomes.size() - 1));
  }

  @Nested
  class CallerKey {
    private final String key = ClaimTestCluster.keyCreatedAt(cluster.now());

    @Test
    void returnsSameResponseFromAnyEntryVm() {
      send(key, 0);
      cluster.backend.finishAll();
      send(key, 0);
      send(key, 1);
      cluster.timers.advance(Duration.ofSeconds(1));

      assertThat(outcomes).hasSize(3);
      assertThat(outcomes.get(2)).isEqualTo(outcomes.get(0));
      assertThat(cluster.backend.runsOf("/order")).isEqualTo(1);
    }

    @Test
    void isRejectedWhileItsRequestIsRunning() {
      send(key, 0);
      send(key, 1);
      cluster.timers.advance(Duration.ofSeconds(1));

      assertThat(lastCode()).isEqualTo(ResultCode.DUPLICATE_RUNNING);
    }

    @Test
    void runsAgainOnAnotherEntryVmAfterNotRun() {
      cluster.backend.setRefusing(true);
      send(key, 0);
      cluster.backend.setRefusing(false);
      cluster.timers.advance(Duration.ofSeconds(1));
      send(key, 1);
      cluster.timers.advance(Duration.ofSeconds(1));
      cluster.backend.finishAll();

      assertThat(outcomes.stream().map(ClaimServiceTest::codeOf).toList())
          .containsExactly(ResultCode.NOT_RUN_OVERLOADED, ResultCode.OK)
          .inOrder();
    }

    @Test
    void hasUnknownOutcomeAfterItsClaimantRestarts() {
      send(key, 0);
      cluster.restart(0);
      send(key, 1);
      cluster.timers.advance(Duration.ofSeconds(1));

      assertThat(lastCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN);
      assertThat(cluster.backend.runsOf("/order")).isEqualTo(1);
    }

    @Test
    void isRejectedImmediatelyWhileStoreIsUnavailable() {
      cluster.store.setFault(Fault.OUTAGE);
      send(key, 0);

      assertThat(lastCode()).isEqualTo(ResultCode.NOT_RUN_CLAIM_UNAVAILABLE);
      assertThat(((Outcome.NotRun) outcomes.get(0)).retryAfter()).isPresent();
    }

    @Test
    void isRejectedIfExpiredOrCreatedInTheFuture() {
      Duration window = ClaimLimits.defaults().window();
      send(ClaimTestCluster.keyCreatedAt(cluster.now().minus(window).minusMillis(1)), 0);
      assertThat(lastCode()).isEqualTo(ResultCode.NOT_RUN_KEY_EXPIRED);

      send(ClaimTestCluster.keyCreatedAt(cluster.now().plus(Duration.ofMinutes(2))), 0);
      assertThat(lastCode()).isEqualTo(ResultCode.INVALID_REQUEST);
    }
  }

  @Nested
  class IssuedKey {
    private final String key = cluster.claims(0).issueKey().text();

    @Test
    void runsOnceOnItsIssuerWhileStoreIsUnavailable() {
      cluster.store.setFault(Fault.OUTAGE);
      send(key, 0);
      cluster.backend.finishAll();
      send(key, 0);

      assertThat(lastCode()).isEqualTo(ResultCode.OK);
      assertThat(cluster.backend.runsOf("/order")).isEqualTo(1);
    }

    @Test
    void isNotRunOnAnotherEntryVm() {
      send(key, 1);

      assertThat(lastCode()).isEqualTo(ResultCode.NOT_RUN_CLAIM_UNAVAILABLE);
    }

    @Test
    void isNeverRunAfterItsIssuerRestarts() {
      cluster.restart(0);
      send(key, 0);
      send(key, 1);

      assertThat(codeOf(outcomes.get(0))).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN);
      assertThat(lastCode()).isEqualTo(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN);
      assertThat(cluster.backend.runsOf("/order")).isEqualTo(0);
    }
  }

  @Nested
  class Pages {
    private static final int CLAIMS = 200;

    @Test
    void batchManyClaimsIntoOneWrite() {
      for (int i = 0; i < CLAIMS; i++) {
        send(ClaimTestCluster.keyCreatedAt(cluster.now().plusMillis(i)), 0);
      }
      cluster.timers.advance(Duration.ofMillis(200));

      assertThat(cluster.backend.runsOf("/order")).isEqualTo(CLAIMS);
      assertThat(cluster.store.writes()).isAtMost(2 * ClaimLimits.defaults().shards());
    }

    @Test
    void areDeletedOneWindowAfterTheirKeysExpire() {
      ClaimLimits limits = ClaimLimits.defaults();
      send(ClaimTestCluster.keyCreatedAt(cluster.now()), 0);
      ClaimPageCleaner cleaner =
          ClaimPageCleaner.create(
              cluster.store, cluster::now, limits, any -> true, cluster.claims(0).counters());
      cleaner.start(cluster.timers);

      cluster.timers.advance(limits.window().multipliedBy(2));
      assertThat(cluster.claims(0).counters().count(ClaimEvent.PAGE_DELETED)).isEqualTo(0);
      cluster.timers.advance(limits.pageInterval().multipliedBy(4));

      assertThat(cluster.claims(0).counters().count(ClaimEvent.PAGE_DELETED)).isEqualTo(1);
    }
  }
}
