package org.amaranthstream.http;

/** Signals bytes of a server that are not the one response that its request waits for. */
public final class MalformedResponseException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedResponseException(String message) {
    super(message);
  }
}
