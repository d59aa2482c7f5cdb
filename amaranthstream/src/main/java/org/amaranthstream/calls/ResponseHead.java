package org.amaranthstream.calls;

import io.vertx.core.MultiMap;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.http.HttpStatus;

/**
 * Head of a backend server's HTTP response.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers
 * @param length the length of the body in bytes, empty if the server did not send it
 * @param signature the server's signature of the response, which is also among the headers
 */
public record ResponseHead(
    HttpStatus status, MultiMap headers, OptionalLong length, Optional<String> signature) {
  /** Returns true if the status is a success (2xx). */
  public boolean isSuccess() {
    return status.isSuccess();
  }

  /** Returns true if the status is a server error (5xx). */
  public boolean isServerError() {
    return status.isServerError();
  }
}
