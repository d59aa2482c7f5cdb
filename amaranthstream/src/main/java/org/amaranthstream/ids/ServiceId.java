package org.amaranthstream.ids;

/**
 * Name of a service that backend servers provide.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public ServiceId {
    IdSyntax.check("service id", value);
  }

  /** Returns the id with the given text. */
  public static ServiceId of(String value) {
    return new ServiceId(value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
