package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Random series of submissions, reads, ends and faults over three daemons. */
class JobPropertyTest {
  private static final int STEPS = 40;
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(3);

  /** The replies and results that callers have received for one job. */
  private static final class ObservedJob {
    private final JobSpec job;
    private final List<CompletableFuture<Result<JobAcknowledgement>>> replies = new ArrayList<>();
    private final List<ItemResult> results = new ArrayList<>();
    private boolean isEnded;

    private ObservedJob(JobSpec job) {
      this.job = job;
    }

    private boolean isAccepted() {
      return replies.stream().anyMatch(r -> r.isDone() && r.join() instanceof Result.Success);
    }

    private boolean isRejectedAlways() {
      return replies.stream().allMatch(ObservedJob::isRejected);
    }

    private static boolean isRejected(CompletableFuture<Result<JobAcknowledgement>> reply) {
      return reply.isDone()
          && reply.join() instanceof Result.Failure<JobAcknowledgement> failure
          && failure.error().code().isNotRun();
    }
  }

  /** A random run over three daemons with two servers. */
  private static final class Scenario {
    private final Random random;
    private final JobFleet fleet = new JobFleet();
    private final Map<JobId, ObservedJob> jobs = new HashMap<>();
    private int nextJob;

    private Scenario(long seed) {
      this.random = new Random(seed);
      for (String name : List.of("vm-1", "vm-2", "vm-3")) {
        fleet.start(name);
      }
      fleet.runMillis(600);
      addServers();
    }

    private void addServers() {
      fleet.addServer("s1", 3, 1);
      fleet.addServer("s2", 3, 1);
      fleet.addRewardServer("r1", 6);
    }

    private JobFleet.Node anyNode() {
      List<JobFleet.Node> running = fleet.runningNodes();
      return running.get(random.nextInt(running.size()));
    }

    private void step() {
      switch (random.nextInt(13)) {
        case 0, 1 -> submitNew();
        case 2 -> submitAgain();
        case 3, 4, 5 -> jobs.values().forEach(this::read);
        case 6 -> fault(anyNode(), WriteFault.ANSWER_LOST);
        case 7 -> fault(anyNode(), WriteFault.APPLIED_LATE);
        case 8 -> rejectStoreCalls(anyNode());
        case 9 -> pause(anyNode());
        case 10 -> restart(anyNode());
        case 11 -> silenceRewards();
        default -> endOne();
      }
      fleet.runMillis(100 + random.nextInt(900));
    }

    private void submitNew() {
      String id = "job" + nextJob++;
      int[] lengths = {1 + random.nextInt(20), 1 + random.nextInt(20), 3, 60};
      JobSpec job =
          random.nextBoolean() ? SampleJobs.scoredJob(id, lengths) : SampleJobs.job(id, 1, lengths);
      ObservedJob observed = new ObservedJob(job);
      jobs.put(job.id(), observed);
      observed.replies.add(anyNode().jobs().submit(job, SUBMIT_TIMEOUT));
    }

    private void submitAgain() {
      for (ObservedJob observed : jobs.values()) {
        observed.replies.add(anyNode().jobs().submit(observed.job, SUBMIT_TIMEOUT));
      }
    }

    private void read(ObservedJob observed) {
      JobFleet.Node node = anyNode();
      Result<ResultSlice> result =
          fleet.await(node.jobs().read(observed.job.id(), 0, Duration.ZERO));
      if (result instanceof Result.Failure<ResultSlice> failure) {
        boolean isUnknown = failure.error().code() == ResultCode.UNKNOWN_JOB;
        assertWithMessage("an accepted job is unknown at %s", node.name())
            .that(isUnknown && observed.isAccepted())
            .isFalse();
        return;
      }
      check(observed, ((Result.Success<ResultSlice>) result).value().results());
    }

    private static void check(ObservedJob observed, ImmutableList<ItemResult> results) {
      Set<ItemId> items = new HashSet<>();
      for (int i = 0; i < results.size(); i++) {
        ItemResult result = results.get(i);
        assertThat(items.add(result.item())).isTrue();
        if (i < observed.results.size()) {
          assertThat(result.item()).isEqualTo(observed.results.get(i).item());
          assertThat(result.score()).isEqualTo(observed.results.get(i).score());
        } else {
          observed.results.add(result);
        }
        if (result.isComplete()) {
          ItemSpec item =
              observed.job.items().stream()
                  .filter(spec -> spec.id().equals(result.item()))
                  .findFirst()
                  .get();
          assertThat(new String(result.text(), UTF_8)).isEqualTo(SimulatedServers.text(item));
          assertThat(result.score()).isEqualTo(expectedScore(item));
        }
      }
    }

    private static Optional<Score> expectedScore(ItemSpec item) {
      return item.rewardCall().isPresent()
          ? Optional.of(SimulatedRewards.score(item))
          : Optional.empty();
    }

    private void fault(JobFleet.Node node, WriteFault fault) {
      node.store().setWriteFault(fault, Duration.ofMillis(500 + random.nextInt(5_000)));
      fleet.runMillis(random.nextInt(2_000));
      node.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
    }

    private void rejectStoreCalls(JobFleet.Node node) {
      node.store().setRefused(true);
      node.cutLinks(random.nextBoolean());
      fleet.runMillis(random.nextInt(5_000));
      node.store().setRefused(false);
      node.cutLinks(false);
    }

    private void silenceRewards() {
      fleet.rewards().setSilent(true);
      fleet.runMillis(random.nextInt(4_000));
      fleet.rewards().setSilent(false);
    }

    private void pause(JobFleet.Node node) {
      node.pause();
      fleet.runMillis(random.nextInt(8_000));
      node.resume();
    }

    private void restart(JobFleet.Node node) {
      if (random.nextInt(4) == 0) {
        fleet.runningNodes().forEach(JobFleet.Node::kill);
        for (String name : List.of("vm-1", "vm-2", "vm-3")) {
          fleet.start(name);
        }
      } else if (random.nextBoolean()) {
        node.shutDown();
        fleet.runMillis(1_500);
        node.kill();
        fleet.start(node.name());
      } else {
        node.kill();
        fleet.runMillis(random.nextInt(2_000));
        fleet.start(node.name());
      }
      fleet.runMillis(300);
      addServers();
    }

    private void endOne() {
      for (ObservedJob observed : jobs.values()) {
        if (!observed.isEnded && random.nextInt(3) == 0) {
          Result<JobAcknowledgement> ended = fleet.await(anyNode().jobs().end(observed.job.id()));
          observed.isEnded = ended instanceof Result.Success;
          return;
        }
      }
    }

    private void finish() {
      fleet.run(Duration.ofSeconds(45));
      for (ObservedJob observed : jobs.values()) {
        for (JobFleet.Node node : fleet.runningNodes()) {
          Result<ResultSlice> last =
              fleet.await(node.jobs().read(observed.job.id(), 0, Duration.ZERO));
          if (last instanceof Result.Success<ResultSlice> success) {
            check(observed, success.value().results());
            assertThat(success.value().results().size()).isAtLeast(observed.results.size());
          } else {
            assertWithMessage("job %s is lost at %s", observed.job.id(), node.name())
                .that(observed.isAccepted())
                .isFalse();
          }
        }
        if (observed.isRejectedAlways()) {
          for (ItemSpec item : observed.job.items()) {
            assertThat(fleet.servers().starts(item.id())).isEqualTo(0);
          }
        } else if (observed.isAccepted() && !observed.isEnded) {
          assertThat(observed.results).hasSize(observed.job.items().size());
        }
      }
    }
  }

  @Property(tries = 60, seed = "20261204")
  void jobsAreAcceptedOnceAndResultsNeverChange(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    for (int i = 0; i < STEPS; i++) {
      scenario.step();
    }
    scenario.finish();
  }
}
