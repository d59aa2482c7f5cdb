package org.amaranthstream.yaml;

/**
 * Ends the reading of a document that has an error.
 *
 * <p>{@link YamlDocument#read} turns it into a failed result; it does not leave that method.
 */
public final class DocumentException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private DocumentException(String message) {
    super(message, null, false, false);
  }

  static DocumentException of(String source, int line, String key, String found, String expected) {
    return new DocumentException(
        String.format("%s:%d: key %s: found %s, expected %s", source, line, key, found, expected));
  }
}
