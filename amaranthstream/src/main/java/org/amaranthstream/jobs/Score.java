package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Score of an item: the signature of the successful response to its reward call.
 *
 * @param value the signature, never empty
 */
public record Score(String value) {

  /**
   * Creates a score.
   *
   * @throws IllegalArgumentException if {@code value} is empty
   */
  public Score {
    checkArgument(!value.isEmpty(), "a score must not be empty");
  }
}
