package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Batch job as submitted by a caller.
 *
 * @param id the id of the job
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
    ImmutableList<ItemSpec> items) {}
