package org.amaranthstream.ids;

/**
 * Name of a batch job.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record JobId(String value) implements Comparable<JobId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public JobId {
    IdSyntax.check("job id", value);
  }

  /** Returns the id with the given text. */
  public static JobId of(String value) {
    return new JobId(value);
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
