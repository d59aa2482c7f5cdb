package org.amaranthstream.ids;

/**
 * Name of an item of a batch job.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record ItemId(String value) implements Comparable<ItemId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public ItemId {
    IdSyntax.check("item id", value);
  }

  /** Returns the id with the given text. */
  public static ItemId of(String value) {
    return new ItemId(value);
  }

  @Override
  public int compareTo(ItemId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
