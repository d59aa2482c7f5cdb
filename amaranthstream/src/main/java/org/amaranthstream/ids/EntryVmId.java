package org.amaranthstream.ids;

/**
 * Name of an entry VM.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record EntryVmId(String value) implements Comparable<EntryVmId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public EntryVmId {
    IdSyntax.check("entry VM id", value);
  }

  /** Returns the id with the given text. */
  public static EntryVmId of(String value) {
    return new EntryVmId(value);
  }

  @Override
  public int compareTo(EntryVmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
