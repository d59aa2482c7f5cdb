package org.amaranthstream.standins.server;

import io.vertx.core.buffer.Buffer;

/**
 * Answer to an HTTP call.
 *
 * @param status the HTTP status
 * @param body the whole body
 */
public record HttpResponse(int status, Buffer body) {

  /** Returns true if the status is of the 2xx group. */
  public boolean isSuccess() {
    return status / 100 == 2;
  }
}
