package org.amaranthstream.dispatch.http;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Body of a model engine's refusal. */
record RefusalBody(boolean notRun, boolean draining, @Nullable String reason) {
  private static final RefusalBody UNREADABLE = new RefusalBody(false, false, "unreadable refusal");

  RefusalBody {
    reason = reason == null ? "no reason given" : reason;
  }

  static RefusalBody parse(Buffer body) {
    try {
      return WireJson.read(body, RefusalBody.class);
    } catch (IOException e) {
      return UNREADABLE;
    }
  }
}
