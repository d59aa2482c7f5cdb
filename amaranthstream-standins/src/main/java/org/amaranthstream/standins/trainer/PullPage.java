package org.amaranthstream.standins.trainer;

import java.util.List;

/**
 * JSON body of the response to a pull.
 *
 * @param pull number of the pull that this page responds to
 * @param token the delivery token for the next pull
 * @param samples the samples of the page
 * @param remaining number of slots not delivered after this page
 * @param done whether the step is complete
 */
record PullPage(long pull, String token, List<Sample> samples, int remaining, boolean done) {

  /** Sample with the weight versions that generated it. */
  record Sample(int slot, int group, String text, long tokens, List<Segment> segments) {
    Sample {
      segments = segments == null ? List.of() : segments;
    }

    /** Returns the lowest weight version of the segments, or 0 if there are none. */
    long oldestVersion() {
      return segments.stream().mapToLong(Segment::version).min().orElse(0);
    }
  }

  /** Consecutive tokens that one weight version generated. */
  record Segment(long version, long tokens) {}
}
