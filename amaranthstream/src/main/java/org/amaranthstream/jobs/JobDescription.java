package org.amaranthstream.jobs;

import java.time.Duration;

/**
 * State of an owned job, as shown in the state dump.
 *
 * @param job the id of the job
 * @param epoch the number of owners so far, including the present one
 * @param ageMillis milliseconds since the job was accepted
 * @param items the number of items
 * @param running the number of items that are running
 * @param unscored the number of items whose complete text has no score yet
 * @param listed the number of listed results
 * @param groupsComplete the number of groups whose items all have a result
 * @param isEnded true if the caller has ended the job
 */
public record JobDescription(
    String job,
    long epoch,
    long ageMillis,
    int items,
    int running,
    int unscored,
    int listed,
    long groupsComplete,
    boolean isEnded) {

  static JobDescription of(OwnedJob job, long nowNanos) {
    int running = 0;
    int unscored = 0;
    for (ItemProgress item : job.items()) {
      running += item.runner().isPresent() ? 1 : 0;
      unscored += !item.isFinished() && item.stage() == ItemStage.SCORE ? 1 : 0;
    }
    Duration age = job.age(nowNanos);
    return new JobDescription(
        job.id().toString(),
        job.owner().owner().epoch(),
        age.toMillis(),
        job.itemCount(),
        running,
        unscored,
        job.listedCount(),
        job.completeGroups(),
        job.isEnded());
  }
}
