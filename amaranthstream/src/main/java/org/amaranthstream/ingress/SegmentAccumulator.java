package org.amaranthstream.ingress;

import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.ids.WeightVersion;

/** An accumulator that merges chunks of equal weight version to segments. Not thread safe. */
final class SegmentAccumulator {
  private final List<SegmentBody> completed = new ArrayList<>();
  private boolean started;
  private long tokens;
  private Long version;

  /** Adds the next chunk of the response. */
  void add(Chunk chunk) {
    Long next = chunk.version().map(WeightVersion::value).orElse(null);
    if (started && !java.util.Objects.equals(next, version)) {
      completeSegment();
    }
    started = true;
    version = next;
    tokens += chunk.tokens();
  }

  /** Returns the segments of all chunks so far. Segments without tokens are left out. */
  List<SegmentBody> toList() {
    List<SegmentBody> all = new ArrayList<>(completed);
    if (tokens > 0) {
      all.add(new SegmentBody(version, tokens));
    }
    return all;
  }

  private void completeSegment() {
    if (tokens > 0) {
      completed.add(new SegmentBody(version, tokens));
    }
    tokens = 0;
  }
}
