package org.amaranthstream.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.usage.SimulatedPlatformApi.Fault;
import org.amaranthstream.usage.SimulatedPlatformApi.Report;

/** Random series of requests and faults over four daemons that report use. */
class UsagePropertyTest {
  private static final int STEPS = 40;
  private static final int RECOVERY_MILLIS = 40_000;
  private static final int WINDOWS_CHECKED = 3;

  /** A random run. */
  private static final class Scenario {
    private final Random random;
    private final UsageFleet fleet;
    private boolean isRecovering;

    private Scenario(long seed) {
      random = new Random(seed);
      fleet = new UsageFleet(seed);
      fleet.start("vm-1", "a");
      fleet.start("vm-2", "a");
      fleet.start("vm-3", "b");
      fleet.start("vm-4", "b");
      runWithRequests(9_000);
    }

    private UsageFleet.Node anyNode() {
      List<UsageFleet.Node> nodes = fleet.nodes();
      return nodes.get(random.nextInt(nodes.size()));
    }

    /** Prefers the holder, around which the faults matter. */
    private UsageFleet.Node victim() {
      return random.nextInt(3) > 0 ? fleet.holder().orElseGet(this::anyNode) : anyNode();
    }

    private void runWithRequests(int millis) {
      for (int done = 0; done < millis; done += 100) {
        anyNode().begin("w" + random.nextInt(3), responseTime());
        fleet.runMillis(100);
      }
    }

    /** Some responses are slow while there are faults, so that counts change for a while. */
    private Duration responseTime() {
      boolean isSlow = !isRecovering && random.nextInt(3) == 0;
      return Duration.ofMillis(isSlow ? random.nextInt(8_000) : 0);
    }

    private void step() {
      UsageFleet.Node node = victim();
      switch (random.nextInt(14)) {
        case 0 -> writeFault(node, WriteFault.ANSWER_LOST);
        case 1 -> writeFault(node, WriteFault.APPLIED_LATE);
        case 2 -> pause(node);
        case 3 -> partition(node);
        case 4 -> expire(node);
        case 5 -> restart(node);
        case 6 -> cutFromApi(node);
        case 7 -> apiFault();
        case 8 -> linkFault(node);
        case 9 -> stepClock(node);
        case 12 -> slowLinks();
        case 10, 11 -> restartDuringWriteFault(node);
        default -> runWithRequests(3_000);
      }
      runWithRequests(100 + random.nextInt(3_000));
    }

    private void writeFault(UsageFleet.Node node, WriteFault fault) {
      node.store().setWriteFault(fault, Duration.ofMillis(500 + random.nextInt(5_000)));
      runWithRequests(random.nextInt(4_000));
      node.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
    }

    /** The same VM acts again soon, while a write of its former process may still take effect. */
    private void restartDuringWriteFault(UsageFleet.Node node) {
      boolean isLate = random.nextBoolean();
      node.store()
          .setWriteFault(
              isLate ? WriteFault.APPLIED_LATE : WriteFault.ANSWER_LOST,
              Duration.ofMillis(500 + random.nextInt(6_000)));
      runWithRequests(1_000 + random.nextInt(5_000));
      node.kill();
      fleet.start(node.vm(), node.zone());
    }

    private void pause(UsageFleet.Node node) {
      node.pause();
      // A shorter suspension may go unnoticed until the next check of the clock.
      fleet.runMillis(1_000 + random.nextInt(9_000));
      node.resume();
    }

    private void partition(UsageFleet.Node node) {
      node.store().setSilent(true);
      node.cutLinks(random.nextBoolean());
      runWithRequests(random.nextInt(9_000));
      node.store().setSilent(false);
      node.cutLinks(false);
    }

    /** The lease ends while its holder cannot see it: two daemons hold it for a moment. */
    private void expire(UsageFleet.Node node) {
      node.store().setSilent(true);
      fleet.store().leases().forEach(fleet.store()::expire);
      runWithRequests(random.nextInt(9_000));
      node.store().setSilent(false);
    }

    private void restart(UsageFleet.Node node) {
      node.kill();
      fleet.runMillis(random.nextInt(6_000));
      fleet.start(node.vm(), node.zone());
    }

    private void cutFromApi(UsageFleet.Node node) {
      node.api().setCut(true);
      runWithRequests(random.nextInt(12_000));
      node.api().setCut(false);
    }

    private void apiFault() {
      fleet.api().setFault(Fault.values()[random.nextInt(Fault.values().length)]);
      runWithRequests(random.nextInt(8_000));
      fleet.api().setFault(Fault.NONE);
    }

    private void linkFault(UsageFleet.Node node) {
      boolean areAnswersLost = random.nextBoolean();
      fleet.loseAnswers(areAnswersLost);
      node.cutLinks(!areAnswersLost);
      runWithRequests(random.nextInt(4_000));
      fleet.loseAnswers(false);
      node.cutLinks(false);
    }

    private void slowLinks() {
      fleet.slowLinks(true);
      runWithRequests(random.nextInt(9_000));
      fleet.slowLinks(false);
    }

    /** Sets the time of day of one VM, and later sets it right. */
    private void stepClock(UsageFleet.Node node) {
      Duration step = Duration.ofMillis(random.nextInt(40_000) - 20_000);
      node.stepClock(step);
      runWithRequests(random.nextInt(9_000));
      node.stepClock(step.negated());
    }

    private void checkReports() {
      Map<Long, WindowCounts> byWindow = new HashMap<>();
      Map<FencingNumber, String> holders = new HashMap<>();
      List<Report> reports = fleet.api().reports();
      for (int i = 0; i < reports.size(); i++) {
        Report report = reports.get(i);
        WindowCounts first = byWindow.putIfAbsent(report.counts().window(), report.counts());
        assertWithMessage("two counts for a window")
            .that(first == null || first.equals(report.counts()))
            .isTrue();
        String holder = holders.putIfAbsent(report.fence(), report.vm());
        assertWithMessage("two holders with one fence")
            .that(holder == null || holder.equals(report.vm()))
            .isTrue();
        report
            .counts()
            .requests()
            .forEach(
                (workspace, count) ->
                    assertWithMessage(
                            "more requests than began in window %s", report.counts().window())
                        .that(count)
                        .isAtMost(
                            fleet.truth(report.counts().window()).getOrDefault(workspace, 0L)));
        if (i > 0) {
          checkTurn(reports.get(i - 1), report);
        }
      }
    }

    private static void checkTurn(Report before, Report after) {
      assertThat(after.fence()).isAtLeast(before.fence());
      if (!before.vm().equals(after.vm())) {
        assertWithMessage("holders act within one turn")
            .that(after.atNanos() - before.atNanos())
            .isAtLeast(UsageFleet.ORDER_TURN.toNanos());
      }
    }

    /** After the faults have ended, each window is reported in time, and exactly. */
    private void finish() {
      isRecovering = true;
      runWithRequests(RECOVERY_MILLIS);
      checkReports();
      long now = fleet.now().toEpochMilli();
      long newest = UsageFleet.TIMING.oldestUseful(now) - 1;
      for (long window = newest - WINDOWS_CHECKED + 1; window <= newest; window++) {
        long number = window;
        assertThat(
                fleet.api().reports().stream()
                    .map(Report::counts)
                    .filter(counts -> counts.window() == number)
                    .map(WindowCounts::requests)
                    .distinct()
                    .toList())
            .containsExactly(fleet.truth(window));
      }
    }
  }

  @Property(tries = 60, seed = "20261204")
  void eachWindowHasOneSetOfCountsAndOneHolder(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    for (int i = 0; i < STEPS; i++) {
      scenario.step();
      scenario.checkReports();
    }
    scenario.finish();
  }
}
