package org.amaranthstream.ingress;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.RequestId;

/** A writer that returns the status, media type and body of a plain service's response. */
final class PlainServiceResponseWriter implements ResponseWriter {
  private final HttpServerResponse response;
  private final RequestId id;
  private final Buffer body = Buffer.buffer();

  PlainServiceResponseWriter(HttpServerResponse response, RequestId id) {
    this.response = response;
    this.id = id;
  }

  @Override
  public void write(Chunk chunk) {
    body.appendBytes(chunk.text().getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void end(Outcome outcome) {
    if (!(outcome instanceof Outcome.Completed completed)) {
      OutcomeErrors.writeError(response, id, outcome);
    } else if (!response.closed()) {
      response
          .setStatusCode(completed.answer().status().code())
          .putHeader("Content-Type", completed.answer().contentType())
          .end(body);
    }
  }

  @Override
  public boolean isWriteQueueFull() {
    return false;
  }
}
