package org.amaranthstream.ids;

/**
 * Name of a group of items that share a prompt.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record GroupId(String value) implements Comparable<GroupId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public GroupId {
    IdSyntax.check("group id", value);
  }

  /** Returns the id with the given text. */
  public static GroupId of(String value) {
    return new GroupId(value);
  }

  @Override
  public int compareTo(GroupId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
