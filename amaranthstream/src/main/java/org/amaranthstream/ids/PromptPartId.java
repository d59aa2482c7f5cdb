package org.amaranthstream.ids;

/**
 * Id of a part of a prompt, which several requests may share.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record PromptPartId(String value) implements Comparable<PromptPartId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public PromptPartId {
    IdSyntax.check("prompt part id", value);
  }

  /** Returns the id with the given text. */
  public static PromptPartId of(String value) {
    return new PromptPartId(value);
  }

  @Override
  public int compareTo(PromptPartId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
