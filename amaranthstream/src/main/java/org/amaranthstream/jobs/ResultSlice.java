package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;

/**
 * Consecutive results of a job.
 *
 * @param total the number of items of the job, with or without a result
 * @param position the position of the first result
 * @param results the results, in order
 */
public record ResultSlice(int total, int position, ImmutableList<ItemResult> results) {

  /** Returns the position after the last of the results. */
  public int next() {
    return position + results.size();
  }
}
