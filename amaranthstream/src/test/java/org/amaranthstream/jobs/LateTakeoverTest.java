package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A takeover that the store executes late, after the owner of the job is back. */
class LateTakeoverTest {
  /** Longer than the session lease. */
  private static final Duration SUSPENSION = Duration.ofMillis(3_500);

  private static final Duration LATE_BY = Duration.ofSeconds(3);

  /** Time after a fault from which on all rules hold for a daemon. */
  private static final Duration CONTACT = Duration.ofSeconds(3);

  /** Maximum time from the end of a job to the last start of an item. */
  private static final Duration CANCEL = Duration.ofSeconds(3);

  private static final Duration EVENT_INTERVAL = Duration.ofMillis(100);

  /** Returns a job of two waves of items, each of which takes 10 s. */
  private static JobSpec job(long minVersion) {
    int[] lengths = new int[16];
    Arrays.fill(lengths, 100);
    return SampleJobs.job("job", minVersion, lengths);
  }

  private static void slowDownServers(JobFleet fleet) {
    fleet.servers().setEventInterval("s1", EVENT_INTERVAL);
    fleet.servers().setEventInterval("s2", EVENT_INTERVAL);
  }

  @Nested
  class OfSuspendedOwner extends JobServiceFixture {
    private final JobSpec job = job(1);

    @BeforeEach
    void takeOverLate() {
      slowDownServers(fleet);
      submit(first, job);
      fleet.runMillis(500);
      first.pause();
      second.store().setWriteFault(WriteFault.APPLIED_LATE, LATE_BY);
      fleet.run(SUSPENSION);
      first.resume();
      fleet.runMillis(500);
      second.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      fleet.run(CONTACT);
    }

    /** Guards against a takeover that takes effect after the owner's check (review, case 6). */
    @Test
    void leavesTheJobToItsOwner() {
      assertThat(fleet.ownerIs(JOB, first)).isTrue();
      assertThat(first.owns(JOB)).isTrue();
      assertThat(second.owns(JOB)).isFalse();
    }

    /** Guards against items of an ended job that its former owner runs (review, case 6). */
    @Test
    void startsNoItemOnceTheJobHasEnded() {
      assertThat(fleet.await(second.jobs().end(JOB)))
          .isEqualTo(Result.success(JobAcknowledgement.ENDED));
      int starts = fleet.servers().order().size();
      fleet.run(Duration.ofSeconds(12));

      assertThat(fleet.servers().order()).hasSize(starts);
    }

    /** Without the condition, the owner learns of its loss here as well. */
    @Test
    void listsTheSameResultsAtBothDaemons() {
      fleet.run(Duration.ofSeconds(12));

      assertThat(fleet.read(second, JOB)).isNotEmpty();
      assertThat(JobServiceFixture.ids(fleet.read(first, JOB)))
          .isEqualTo(JobServiceFixture.ids(fleet.read(second, JOB)));
    }
  }

  /** A suspension, late takeovers, a restart and an end at random moments. */
  private static final class Scenario {
    private static final int DAEMONS = 6;

    private final JobFleet fleet = new JobFleet();

    /** A job whose items wait for the next weights until it has ended. */
    private final JobSpec job = job(2);

    private final Random random;
    private final JobFleet.Node owner;
    private final JobFleet.Node other;

    private Scenario(long seed) {
      this.random = new Random(seed);
      for (int i = 1; i <= DAEMONS; i++) {
        fleet.start("vm-" + i);
      }
      fleet.runMillis(600);
      addServers(1);
      this.owner = daemonThatDoesNotSweep();
      fleet.await(owner.jobs().submitForPeer(job, Duration.ofSeconds(4)));
      assertThat(fleet.ownerIs(job.id(), owner)).isTrue();
      this.other = fleet.runningNodes().stream().filter(node -> node != owner).findFirst().get();
    }

    private void addServers(long version) {
      fleet.addServer("s1", 4, version);
      fleet.addServer("s2", 4, version);
    }

    /** Returns a daemon that lists the records of all jobs only when it registers. */
    private JobFleet.Node daemonThatDoesNotSweep() {
      List<EntryVmId> all = fleet.runningNodes().stream().map(Scenario::vm).toList();
      List<EntryVmId> sweepers = TakeoverCandidates.of(OrphanSweeper.BACKSTOP, all);
      return fleet.runningNodes().stream()
          .filter(node -> !sweepers.contains(vm(node)))
          .findFirst()
          .get();
    }

    private static EntryVmId vm(JobFleet.Node node) {
      return EntryVmId.of(node.name());
    }

    private Duration upTo(int millis) {
      return Duration.ofMillis(random.nextInt(millis));
    }

    private void disturb() {
      owner.pause();
      Duration lateBy = upTo(6_000);
      fleet.runningNodes().stream()
          .filter(node -> node != owner)
          .forEach(node -> node.store().setWriteFault(WriteFault.APPLIED_LATE, lateBy));
      fleet.run(Duration.ofSeconds(3).plus(upTo(2_000)));
      owner.resume();
      fleet.run(upTo(1_500));
      fleet
          .runningNodes()
          .forEach(node -> node.store().setWriteFault(WriteFault.NONE, Duration.ZERO));
      if (random.nextInt(4) == 0) {
        owner.kill();
        fleet.start(owner.name());
      }
      fleet.run(CONTACT);
    }

    private void endAndVerify() {
      Result<JobAcknowledgement> ended = fleet.await(other.jobs().end(job.id()));
      assertThat(ended).isEqualTo(Result.success(JobAcknowledgement.ENDED));
      fleet.run(CANCEL);
      addServers(2);
      fleet.run(CONTACT);
      assertThat(fleet.servers().order()).isEmpty();
    }
  }

  @Property(tries = 100, seed = "20261207")
  void noItemStartsAfterTheEnd(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    scenario.disturb();
    scenario.endAndVerify();
  }
}
