package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.ids.WeightVersion;
import org.jspecify.annotations.Nullable;

/** A collector that joins the chunks of one stream into a sample. Not thread safe. */
final class SampleCollector {
  private final int slot;
  private final int group;
  private final StringBuilder text = new StringBuilder();
  private final List<Segment> segments = new ArrayList<>();
  private long tokens;
  private boolean versionMissing;
  private @Nullable WeightVersion oldest;

  SampleCollector(int slot, int group) {
    this.slot = slot;
    this.group = group;
  }

  /** Adds the next chunk. A chunk that has tokens but no weight version invalidates the sample. */
  void add(Chunk chunk) {
    if (chunk.tokens() == 0) {
      text.append(chunk.text());
      return;
    }
    if (chunk.version().isEmpty()) {
      versionMissing = true;
      return;
    }
    text.append(chunk.text());
    tokens += chunk.tokens();
    addSegment(chunk.version().get(), chunk.tokens());
  }

  private void addSegment(WeightVersion version, int count) {
    if (oldest == null || oldest.isAfter(version)) {
      oldest = version;
    }
    int last = segments.size() - 1;
    if (last >= 0 && segments.get(last).version().equals(version)) {
      segments.set(last, new Segment(version, segments.get(last).tokens() + count));
    } else {
      segments.add(new Segment(version, count));
    }
  }

  /** Returns the oldest weight version of the chunks so far, or empty if there is none. */
  Optional<WeightVersion> oldestVersion() {
    return Optional.ofNullable(oldest);
  }

  /**
   * Returns the sample, or empty if a chunk named no weight version or if the number of tokens is
   * not {@code expectedTokens}, the number stated at the end of the stream.
   */
  Optional<Sample> toSample(long expectedTokens) {
    if (versionMissing || segments.isEmpty() || tokens != expectedTokens) {
      return Optional.empty();
    }
    return Optional.of(
        new Sample(slot, group, text.toString(), (int) tokens, ImmutableList.copyOf(segments)));
  }
}
