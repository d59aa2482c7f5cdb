package org.amaranthstream.standins.trainer;

import java.util.List;

/** Answer to a pull. */
record PullPage(long pull, String token, List<Sample> samples, int remaining, boolean done) {

  /** A sample and the versions that produced it. */
  record Sample(int slot, int group, String text, long tokens, List<Segment> segments) {
    Sample {
      segments = segments == null ? List.of() : segments;
    }

    long oldestVersion() {
      return segments.stream().mapToLong(Segment::version).min().orElse(0);
    }
  }

  /** Tokens in a row and the version that produced them. */
  record Segment(long version, long tokens) {}
}
