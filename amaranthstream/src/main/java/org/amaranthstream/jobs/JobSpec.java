package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ids.WorkspaceId;

/**
 * Batch job as submitted by a caller.
 *
 * @param id the id of the job, with its workspace
 * @param host the host of its route
 * @param path the path of the submission, which selects the route
 * @param step the trainer's step that the job belongs to
 * @param model the model that generates
 * @param minVersion the oldest weight version that may generate the output
 * @param wantedGroups the number of complete groups that the trainer waits for
 * @param items the items, in the caller's order
 */
public record JobSpec(
    JobId id,
    String host,
    String path,
    long step,
    ModelId model,
    WeightVersion minVersion,
    int wantedGroups,
    ImmutableList<ItemSpec> items) {

  /** Returns the memory that the job takes. */
  long memoryBytes() {
    return items.stream().mapToLong(ItemSpec::memoryBytes).sum();
  }

  /** Returns the job without its items. */
  JobSpec withoutItems() {
    return new JobSpec(id, host, path, step, model, minVersion, wantedGroups, ImmutableList.of());
  }

  /** Returns the workspace whose job it is, empty where no workspaces are configured. */
  public Optional<WorkspaceId> workspace() {
    return id.workspace();
  }
}
