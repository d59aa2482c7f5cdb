package org.amaranthstream.yaml;

/**
 * Exception that ends the parsing or reading of a document at its first error.
 *
 * <p>{@link YamlDocument#read} converts it into a failed result and never propagates it. It has no
 * stack trace.
 */
public final class DocumentException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private DocumentException(String message) {
    super(message, null, false, false);
  }

  /** Returns an exception whose message has the form that all document errors share. */
  static DocumentException of(String source, int line, String key, String found, String expected) {
    return new DocumentException(
        String.format("%s:%d: key %s: found %s, expected %s", source, line, key, found, expected));
  }
}
