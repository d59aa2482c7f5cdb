package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.RewardCallId;
import org.amaranthstream.ids.WeightVersion;

/** Batch jobs for tests. */
final class SampleJobs {
  private SampleJobs() {}

  /** Returns a job with an item of each of {@code lengths}, in events, in groups of two items. */
  static JobSpec job(String id, long minVersion, int... lengths) {
    List<ItemSpec> items = new ArrayList<>();
    for (int i = 0; i < lengths.length; i++) {
      String item = id + "-" + i;
      items.add(
          new ItemSpec(
              ItemId.of(item),
              "/" + item,
              ImmutableListMultimap.of("name", "value"),
              ("body of " + item).getBytes(StandardCharsets.UTF_8),
              100,
              OptionalLong.of(lengths[i]),
              GroupId.of(id + "-g" + i / 2),
              Optional.empty()));
    }
    return new JobSpec(
        JobId.of(id),
        JobRoutes.HOST,
        "/" + id,
        0,
        SimulatedServers.MODEL,
        WeightVersion.of(minVersion),
        1,
        ImmutableList.copyOf(items));
  }

  /** Returns a job like {@link #job}, each of whose items has a reward call. */
  static JobSpec scoredJob(String id, int... lengths) {
    JobSpec job = job(id, 1, lengths);
    ImmutableList<ItemSpec> items =
        job.items().stream()
            .map(item -> withRewardCall(item, JobRoutes.REWARD_HOST))
            .collect(ImmutableList.toImmutableList());
    return withItems(job, items);
  }

  static JobSpec withItems(JobSpec job, ImmutableList<ItemSpec> items) {
    return new JobSpec(
        job.id(),
        job.host(),
        job.path(),
        job.step(),
        job.model(),
        job.minVersion(),
        job.wantedGroups(),
        items);
  }

  static ItemSpec withRewardCall(ItemSpec item, String host) {
    RewardCall call =
        new RewardCall(RewardCallId.of("call-" + item.id()), host, "/score", new byte[] {1, 2, 3});
    return new ItemSpec(
        item.id(),
        item.path(),
        item.headers(),
        item.body(),
        item.tokens(),
        item.expectedTokens(),
        item.group(),
        Optional.of(call));
  }
}
