package org.amaranthstream.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.amaranthstream.usage.SimulatedPlatformApi.Fault;
import org.amaranthstream.usage.SimulatedPlatformApi.Report;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Reports of use by four daemons in two zones, with one fault at a time. */
class UsageReporterTest {
  private final UsageFleet fleet = new UsageFleet(1);

  @BeforeEach
  void startDaemons() {
    fleet.start("vm-1", "a");
    fleet.start("vm-2", "a");
    fleet.start("vm-3", "b");
    fleet.start("vm-4", "b");
    run(12);
  }

  /** Lets a request begin at one daemon after the other, ten a second. */
  private void run(int seconds) {
    for (int i = 0; i < seconds * 10; i++) {
      List<UsageFleet.Node> nodes = fleet.nodes();
      nodes.get(i % nodes.size()).begin("w" + i % 3, Duration.ZERO);
      fleet.runMillis(100);
    }
  }

  private long window() {
    return UsageFleet.TIMING.windowAt(fleet.now().toEpochMilli());
  }

  private List<Report> reports(long window) {
    return fleet.api().reports().stream().filter(r -> r.counts().window() == window).toList();
  }

  private void assertReportedExactly(long first, long last) {
    for (long window : LongStream.rangeClosed(first, last).toArray()) {
      List<Report> reports = reports(window);
      assertWithMessage("reports of window %s", window - first).that(reports).isNotEmpty();
      assertThat(reports.get(0).counts().requests()).isEqualTo(fleet.truth(window));
    }
  }

  @Nested
  class WithoutFaults {
    @Test
    void eachWindowIsReportedOnceAndExactly() {
      final long first = window();
      run(60);

      assertReportedExactly(first, window() - 2);
      assertThat(reports(first + 3)).hasSize(1);
    }

    @Test
    void windowCostsOneStoreWriteAndNoReads() {
      run(30);
      int callsBefore = fleet.store().calls();
      fleet.runMillis(20_000);
      int idleCalls = 4 * (20_000 / 900 + 2 + 1);

      assertThat(fleet.store().calls() - callsBefore).isAtMost(idleCalls + 4 + 1);
    }
  }

  @Nested
  class LostDaemons {
    @Test
    void countsOfKilledDaemonAreKeptByItsRelays() {
      run(20);
      UsageFleet.Node killed =
          fleet.nodes().stream()
              .filter(node -> !fleet.holder().equals(Optional.of(node)))
              .findFirst()
              .get();
      final long window = window();
      killed.begin("w1", Duration.ZERO);
      fleet.runMillis(1_100);
      killed.kill();
      run(15);

      assertReportedExactly(window, window);
    }

    @Test
    void nextHolderReportsAfterTheHolderIsKilled() {
      run(20);
      UsageFleet.Node killed = fleet.holder().get();
      killed.kill();
      run(30);

      Report last = reports(window() - 3).get(0);
      assertThat(last.vm()).isNotEqualTo(killed.vm());
    }
  }

  @Nested
  class SilentRelays {
    @Test
    void relayThatDoesNotAnswerHoldsUpNoReport() {
      run(20);
      UsageFleet.Node silent =
          fleet.nodes().stream()
              .filter(node -> !fleet.holder().equals(Optional.of(node)))
              .findFirst()
              .get();
      final long first = window();
      silent.cutLinks(true);
      run(30);

      for (long window = first; window <= window() - 3; window++) {
        assertThat(reports(window)).isNotEmpty();
      }
    }
  }

  @Nested
  class FaultsOfTheApi {
    @Test
    void holderThatCannotReachItYieldsToOneThatCan() {
      run(20);
      UsageFleet.Node cut = fleet.holder().get();
      final long first = window();
      cut.api().setCut(true);
      run(40);

      assertThat(reports(window() - 3).get(0).vm()).isNotEqualTo(cut.vm());
      assertReportedExactly(first + 2, window() - 3);
    }

    @Test
    void holderStaysWhileNobodyReachesIt() {
      run(20);
      UsageFleet.Node holder = fleet.holder().get();
      fleet.api().setFault(Fault.DOWN);
      run(30);

      assertThat(fleet.holder()).hasValue(holder);
    }

    @Test
    void countsAreSentAgainAfterLostAnswersAndTooManyCalls() {
      run(20);
      final long window = window();
      fleet.api().setFault(Fault.ANSWER_LOST);
      run(9);
      fleet.api().setFault(Fault.TOO_MANY_CALLS);
      run(3);
      fleet.api().setFault(Fault.NONE);
      run(10);

      assertReportedExactly(window, window + 2);
      assertThat(reports(window).stream().map(Report::counts).distinct().toList()).hasSize(1);
    }

    @Test
    void reportOfNoMoreUseIsGivenUp() {
      run(20);
      final long window = window();
      fleet.api().setFault(Fault.DOWN);
      run(22);
      fleet.api().setFault(Fault.NONE);
      run(20);

      assertThat(reports(window)).isEmpty();
      assertReportedExactly(window + 5, window + 6);
    }
  }

  @Test
  void stepOfOneClockMovesNoCounts() {
    run(20);
    final long first = window();
    fleet.nodes().get(0).stepClock(Duration.ofSeconds(7));
    fleet.nodes().get(2).stepClock(Duration.ofSeconds(-12));
    run(30);

    assertReportedExactly(first, window() - 3);
  }
}
