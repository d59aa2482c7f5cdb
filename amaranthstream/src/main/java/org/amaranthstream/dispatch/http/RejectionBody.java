package org.amaranthstream.dispatch.http;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Body of a model engine's refusal. */
record RejectionBody(boolean notRun, boolean draining, @Nullable String reason) {
  private static final RejectionBody UNREADABLE =
      new RejectionBody(false, false, "unreadable refusal");

  RejectionBody {
    reason = reason == null ? "no reason given" : reason;
  }

  static RejectionBody parse(Buffer body) {
    try {
      return WireJson.read(body, RejectionBody.class);
    } catch (IOException e) {
      return UNREADABLE;
    }
  }
}
