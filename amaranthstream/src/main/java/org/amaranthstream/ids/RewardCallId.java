package org.amaranthstream.ids;

/**
 * Name of a reward call.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record RewardCallId(String value) implements Comparable<RewardCallId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public RewardCallId {
    IdSyntax.check("reward call id", value);
  }

  /** Returns the id with the given text. */
  public static RewardCallId of(String value) {
    return new RewardCallId(value);
  }

  @Override
  public int compareTo(RewardCallId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
