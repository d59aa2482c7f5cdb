package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.WeightVersion;

/**
 * Consecutive tokens of a sample that one weight version produced.
 *
 * @param version the version, as reported in the engine's stream
 * @param tokens number of tokens
 */
public record Segment(WeightVersion version, int tokens) {

  /**
   * Creates a segment.
   *
   * @throws IllegalArgumentException if {@code tokens} is not positive
   */
  public Segment {
    checkNotNull(version, "version");
    checkArgument(tokens > 0, "tokens is not positive: %s", tokens);
  }
}
