package org.amaranthstream.dispatch.http;

import io.vertx.core.buffer.Buffer;
import org.amaranthstream.ids.AttemptId;

/** Body of a cancel request to a model engine. */
record CancelBody(String attempt) {

  static CancelBody of(AttemptId id) {
    return new CancelBody(id.value());
  }

  Buffer toBuffer() {
    return WireJson.write(this);
  }
}
