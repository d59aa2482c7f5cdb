package org.amaranthstream.ingress;

import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.ids.WeightVersion;

/** Weight versions of an answer's tokens, joined to segments. Confined to one thread. */
final class Segments {
  private final List<SegmentBody> closed = new ArrayList<>();
  private boolean open;
  private long tokens;
  private Long version;

  void add(Chunk chunk) {
    Long next = chunk.version().map(WeightVersion::value).orElse(null);
    if (open && !java.util.Objects.equals(next, version)) {
      close();
    }
    open = true;
    version = next;
    tokens += chunk.tokens();
  }

  List<SegmentBody> toList() {
    List<SegmentBody> all = new ArrayList<>(closed);
    if (tokens > 0) {
      all.add(new SegmentBody(version, tokens));
    }
    return all;
  }

  private void close() {
    if (tokens > 0) {
      closed.add(new SegmentBody(version, tokens));
    }
    tokens = 0;
  }
}
