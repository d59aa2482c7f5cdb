package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import org.amaranthstream.ids.WeightVersion;

/**
 * A complete sample.
 *
 * @param slot the slot of the sample in its step
 * @param group the index of the prompt group
 * @param text the generated text
 * @param tokens number of tokens of the text
 * @param segments the weight versions that produced the text, in its order
 */
public record Sample(
    int slot, int group, String text, int tokens, ImmutableList<Segment> segments) {

  /**
   * Creates a sample.
   *
   * @throws IllegalArgumentException if there is no segment, or if the tokens of the segments do
   *     not add up to {@code tokens}
   */
  public Sample {
    checkNotNull(text, "text");
    checkArgument(!segments.isEmpty(), "sample of slot %s has no segments", slot);
    int sum = segments.stream().mapToInt(Segment::tokens).sum();
    checkArgument(
        sum == tokens, "segments have %s tokens in total, but the sample has %s", sum, tokens);
  }

  /** Returns the oldest weight version of the segments. */
  public WeightVersion oldestVersion() {
    return segments.stream().map(Segment::version).min(Comparator.naturalOrder()).orElseThrow();
  }
}
