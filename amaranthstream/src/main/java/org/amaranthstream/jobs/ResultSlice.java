package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;

/**
 * Results of a job from a position on.
 *
 * @param total the number of items of the job
 * @param position the position of the first result
 * @param results the results, in order
 */
public record ResultSlice(int total, int position, ImmutableList<ItemResult> results) {

  /** Returns the position that follows the results. */
  public int next() {
    return position + results.size();
  }
}
