package org.amaranthstream.standins.server;

import io.vertx.core.buffer.Buffer;

/**
 * Complete response to an HTTP request.
 *
 * @param status the HTTP status code
 * @param body the complete body
 */
public record HttpResponse(int status, Buffer body) {

  /** Returns true if the status code is 2xx. */
  public boolean isSuccess() {
    return status / 100 == 2;
  }
}
