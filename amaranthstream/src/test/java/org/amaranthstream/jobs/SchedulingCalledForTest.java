package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.slots.SlotDemand;
import org.amaranthstream.slots.SlotLeases;
import org.amaranthstream.workspaces.Workspace;
import org.amaranthstream.workspaces.WorkspaceDirectory;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against parts of the scheduling that make items wait where they have nothing to decide.
 */
class SchedulingCalledForTest {
  private static final ImmutableList<ModelId> ONE = ImmutableList.of(ModelId.of("m"));
  private static final ImmutableList<ModelId> TWO =
      ImmutableList.of(ModelId.of("m"), ModelId.of("other"));

  private final List<SlotDemand> demands = new ArrayList<>();

  /** Leases of a coordinator that never answers, so that nothing may start. */
  private final SlotLeases slots =
      new SlotLeases() {
        @Override
        public boolean mayStart(TrackedServer server) {
          return false;
        }

        @Override
        public void onRejected(TrackedServer server) {}

        @Override
        public void setDemand(ImmutableList<SlotDemand> newDemands) {
          demands.addAll(newDemands);
        }

        @Override
        public void setListener(Runnable onChanged) {}
      };

  private final ItemSchedulingOptions all =
      ItemSchedulingOptions.OFF.withFairOrder(true).withExpectedEnd(true).withSlots(slots);

  @Nested
  class Parts {
    @Test
    void areAllInUseWhereEnginesServeSeveralModels() {
      assertThat(all.calledForBy(JobRoutes.config(1, TWO))).isEqualTo(all);
    }

    @Test
    void areNotInUseForOneModel() {
      assertThat(all.calledForBy(JobRoutes.config(1, ONE))).isEqualTo(ItemSchedulingOptions.OFF);
    }

    @Test
    void keepOrderByShareWhereThereAreWorkspaces() {
      RoutingConfig config =
          JobRoutes.config(1, ONE)
              .withWorkspaces(
                  WorkspaceDirectory.of(
                      ImmutableList.of(
                          new Workspace(
                              WorkspaceId.of("w"), OptionalInt.empty(), ImmutableSet.of()))));

      assertThat(all.calledForBy(config)).isEqualTo(ItemSchedulingOptions.OFF.withFairOrder(true));
    }
  }

  @Nested
  class Items {
    private final JobFleet fleet = new JobFleet(all);

    private int finished(ImmutableList<ModelId> models) {
      JobFleet.Node node = fleet.start("vm-1");
      node.routing().apply(JobRoutes.config(2, models));
      fleet.runMillis(500);
      fleet.addServer("s1", 4, 1);
      JobSpec job = SampleJobs.job("job", 1, 4, 4, 4);
      assertThat(
              JobServiceFixture.isAccepted(
                  fleet.await(node.jobs().submit(job, JobServiceFixture.SUBMIT_TIMEOUT))))
          .isTrue();
      fleet.runMillis(5_000);
      return fleet.read(node, JobServiceFixture.JOB).size();
    }

    @Test
    void ofOneTrainerWaitForNoLease() {
      assertThat(finished(ONE)).isEqualTo(3);
      assertThat(demands).isEmpty();
    }

    @Test
    void ofSeveralTrainersWaitForLeases() {
      assertThat(finished(TWO)).isEqualTo(0);
      assertThat(demands).isNotEmpty();
    }
  }
}
