package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.result.Result;
import org.amaranthstream.routing.RoutingConfig;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Jobs for which the configuration of their owner has no route. */
class JobsWithoutRouteTest extends JobServiceFixture {
  private static final RoutingConfig REMOVED = JobRoutes.withoutRoutes(2);
  private static final RoutingConfig ADDED =
      JobRoutes.config(3, ImmutableList.of(ModelId.of("m"), ModelId.of("other")));

  @Nested
  class RemovedRoutes {
    private final JobSpec job = SampleJobs.job("job", 1, 1000, 1000, 1000, 1000);

    private static void assertErrored(ImmutableList<ItemResult> results) {
      assertThat(results).hasSize(4);
      assertThat(results.stream().anyMatch(ItemResult::isComplete)).isFalse();
    }

    @Test
    void endTheReadThatWaits() {
      submit(first, job);
      final CompletableFuture<Result<ResultSlice>> read =
          first.jobs().read(JOB, 0, Duration.ofSeconds(10));
      fleet.runMillis(200);
      first.routing().apply(REMOVED);
      fleet.runMillis(200);

      assertThat(read.isDone()).isTrue();
      assertErrored(((Result.Success<ResultSlice>) read.join()).value().results());
    }

    /** Guards against items that no later owner ever ends, since it has never seen the route. */
    @Test
    void endTheItemsAfterTakeover() {
      submit(first, job);
      fleet.runMillis(200);
      second.routing().apply(REMOVED);
      first.kill();
      fleet.runUntil(() -> second.owns(JOB));
      fleet.run(ItemScheduler.MAX_CONFIG_DELAY.plusMillis(200));

      assertErrored(fleet.read(second, JOB));
    }
  }

  @Nested
  class AddedRoutes {
    private final JobSpec job = SampleJobs.job("job", 1, 10, 10, 10, 10);

    /** Guards against items that end as errored at an owner whose configuration is older. */
    @Test
    void areAwaitedByAnOwnerThatTheyReachLater() {
      first.routing().apply(REMOVED);
      second.routing().apply(REMOVED);
      second.routing().apply(ADDED);
      fleet.await(first.jobs().submitForPeer(job, SUBMIT_TIMEOUT));
      fleet.runMillis(1_000);
      first.routing().apply(ADDED);
      fleet.run(Duration.ofSeconds(5));

      assertAllComplete(job, fleet.read(second, JOB));
    }
  }
}
