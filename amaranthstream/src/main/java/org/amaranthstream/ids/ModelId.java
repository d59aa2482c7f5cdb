package org.amaranthstream.ids;

/**
 * Name of a model whose weight versions a pool serves.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record ModelId(String value) implements Comparable<ModelId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public ModelId {
    IdSyntax.check("model id", value);
  }

  /** Returns the id with the given text. */
  public static ModelId of(String value) {
    return new ModelId(value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
