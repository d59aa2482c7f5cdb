package org.amaranthstream.ingress;

import io.vertx.core.http.HttpServerResponse;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.RequestId;

/** A writer that buffers a model engine's response and sends it as one JSON object. */
final class JsonResponseWriter implements ResponseWriter {
  private static final int HTTP_OK = 200;

  private final HttpServerResponse response;
  private final RequestId id;
  private final StringBuilder text = new StringBuilder();
  private final SegmentAccumulator segments = new SegmentAccumulator();

  JsonResponseWriter(HttpServerResponse response, RequestId id) {
    this.response = response;
    this.id = id;
  }

  @Override
  public void write(Chunk chunk) {
    text.append(chunk.text());
    segments.add(chunk);
  }

  @Override
  public void end(Outcome outcome) {
    if (outcome instanceof Outcome.Completed completed) {
      CompletedResponse completedResponse = completed.answer();
      IngressResponses.json(
          response,
          HTTP_OK,
          new CallResponseBody(
              id.toString(),
              text.toString(),
              completedResponse.tokens(),
              completedResponse.finishReason(),
              segments.toList(),
              null));
    } else {
      OutcomeErrors.writeError(response, id, outcome);
    }
  }

  @Override
  public boolean isWriteQueueFull() {
    return false;
  }
}
