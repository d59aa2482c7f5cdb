package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** The leader's links to the engines may fail while its lease is renewed in the store. */
class LeaderLeaseEligibilityTest extends LeaderLeaseFixture {
  @Test
  void holderStopsAtOnceAndTheNextOneActsAfterTheGap() {
    first.start();
    runSeconds(10);
    second.start();
    actPeriodically(first, second);
    runSeconds(2);
    first.leaderLease().setEligible(false);

    assertThat(first.leaderLease().current()).isEmpty();
    runSeconds(4.5);
    assertThat(distinctHolders()).isEqualTo(2);
    assertActsOfHoldersAreApart();
  }

  @Test
  void daemonThatIsEligibleAgainWaitsItsTurn() {
    first.start();
    runSeconds(10);
    second.start();
    actPeriodically(first, second);
    runSeconds(2);
    first.leaderLease().setEligible(false);
    runSeconds(0.1);
    first.leaderLease().setEligible(true);
    runSeconds(10);
    second.leaderLease().setEligible(false);
    runSeconds(10);

    assertActsOfHoldersAreApart();
    assertThat(first.leaderLease().current()).isPresent();
  }

  @Test
  void releaseIsRepeatedUntilTheStoreConfirmsIt() {
    first.start();
    runSeconds(10);
    second.start();
    actPeriodically(first, second);
    runSeconds(2);
    first.store().setRefused(true);
    first.leaderLease().setEligible(false);
    runSeconds(1);
    first.store().setRefused(false);
    runSeconds(6);

    assertThat(second.leaderLease().current()).isPresent();
    assertActsOfHoldersAreApart();
  }

  @Test
  void ineligibleDaemonsLeaveTheLeaseAlone() {
    first.leaderLease().setEligible(false);
    first.start();
    runSeconds(10);

    assertThat(first.leaderLease().isHeld()).isFalse();
    first.leaderLease().setEligible(true);
    runSeconds(10);
    assertThat(first.leaderLease().current()).isPresent();
  }

  @Test
  void daemonThatDoesNotCompeteLeavesTheLeaseAlone() {
    first.leaderLease().competeIf(() -> false);
    first.start();
    second.start();
    runSeconds(12);

    assertThat(first.leaderLease().isHeld()).isFalse();
    assertThat(second.leaderLease().current()).isPresent();
  }

  @Test
  void holderThatWouldNotCompeteAnyMoreKeepsTheLease() {
    AtomicBoolean competes = new AtomicBoolean(true);
    first.leaderLease().competeIf(competes::get);
    first.start();
    runSeconds(10);
    competes.set(false);
    second.start();
    runSeconds(10);

    assertThat(first.leaderLease().current()).isPresent();
  }
}
