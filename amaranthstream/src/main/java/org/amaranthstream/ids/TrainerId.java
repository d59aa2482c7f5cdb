package org.amaranthstream.ids;

/**
 * Name of a trainer.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record TrainerId(String value) implements Comparable<TrainerId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public TrainerId {
    IdSyntax.check("trainer id", value);
  }

  /** Returns the id with the given text. */
  public static TrainerId of(String value) {
    return new TrainerId(value);
  }

  @Override
  public int compareTo(TrainerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
