package org.amaranthstream.calls;

import io.vertx.core.MultiMap;
import java.util.OptionalLong;

/**
 * Head of a backend server's HTTP response.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers
 * @param length the length of the body in bytes, empty if the server did not send it
 */
public record ResponseHead(int status, MultiMap headers, OptionalLong length) {
  private static final int SERVER_ERROR = 500;

  /** Returns true if the status is a server error (5xx). */
  public boolean isServerError() {
    return status >= SERVER_ERROR;
  }
}
