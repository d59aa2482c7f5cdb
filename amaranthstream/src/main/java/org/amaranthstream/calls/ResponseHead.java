package org.amaranthstream.calls;

import io.vertx.core.MultiMap;
import java.util.OptionalLong;

/**
 * The head of a backend server's answer.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers
 * @param length the length of the body, empty if it is not announced
 */
public record ResponseHead(int status, MultiMap headers, OptionalLong length) {
  private static final int SERVER_ERROR = 500;

  /** Returns true if the server says that it failed. */
  public boolean isServerError() {
    return status >= SERVER_ERROR;
  }
}
