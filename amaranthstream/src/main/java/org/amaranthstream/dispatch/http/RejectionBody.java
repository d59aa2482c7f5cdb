package org.amaranthstream.dispatch.http;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Body of the response with which a model engine rejects a request. */
record RejectionBody(boolean notRun, boolean draining, @Nullable String reason) {
  private static final RejectionBody UNREADABLE =
      new RejectionBody(false, false, "unreadable rejection");

  RejectionBody {
    reason = reason == null ? "no reason given" : reason;
  }

  /** Parses {@code body}; an unreadable body does not claim that the request did not run. */
  static RejectionBody parse(Buffer body) {
    try {
      return WireJson.read(body, RejectionBody.class);
    } catch (IOException e) {
      return UNREADABLE;
    }
  }
}
