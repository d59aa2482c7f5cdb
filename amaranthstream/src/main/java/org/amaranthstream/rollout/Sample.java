package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import org.amaranthstream.ids.WeightVersion;

/**
 * A whole sample.
 *
 * @param slot the slot of the step that it fills
 * @param group the index of its group
 * @param text the generated text
 * @param tokens number of tokens of the text
 * @param segments the weight versions that produced it, in the order of the text
 */
public record Sample(
    int slot, int group, String text, int tokens, ImmutableList<Segment> segments) {

  /** Creates a sample. */
  public Sample {
    checkNotNull(text, "text");
    checkArgument(!segments.isEmpty(), "sample of slot %s names no weight version", slot);
    int sum = segments.stream().mapToInt(Segment::tokens).sum();
    checkArgument(sum == tokens, "segments have %s tokens, the sample has %s", sum, tokens);
  }

  /** Returns the oldest weight version that produced a part of the sample. */
  public WeightVersion oldestVersion() {
    return segments.stream().map(Segment::version).min(Comparator.naturalOrder()).orElseThrow();
  }
}
