package org.amaranthstream.ingress;

import io.vertx.core.http.HttpServerResponse;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;

/** A writer that sends each chunk of a model engine's response as one line of JSON. */
final class NdjsonResponseWriter implements ResponseWriter {
  private static final int MAX_QUEUED_BYTES = 256 * 1024;
  private static final String NDJSON_TYPE = "application/x-ndjson";

  private final HttpServerResponse response;
  private final RequestId id;
  private final SegmentAccumulator segments = new SegmentAccumulator();
  private boolean started;

  NdjsonResponseWriter(HttpServerResponse response, RequestId id) {
    this.response = response;
    this.id = id;
    response.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
  }

  @Override
  public void write(Chunk chunk) {
    segments.add(chunk);
    startResponse();
    Long version = chunk.version().map(WeightVersion::value).orElse(null);
    writeLine(new ChunkBody(chunk.text(), chunk.tokens(), version));
  }

  @Override
  public void end(Outcome outcome) {
    if (outcome instanceof Outcome.Completed completed) {
      CompletedResponse completedResponse = completed.answer();
      startResponse();
      writeLine(
          new CallResponseBody(
              id.toString(),
              null,
              completedResponse.tokens(),
              completedResponse.finishReason(),
              segments.toList(),
              true));
    } else if (started) {
      writeLine(StreamErrorBody.of(OutcomeErrors.errorBody(id, outcome)));
    } else {
      OutcomeErrors.writeError(response, id, outcome);
      return;
    }
    if (!response.closed()) {
      response.end();
    }
  }

  @Override
  public boolean isWriteQueueFull() {
    return response.writeQueueFull();
  }

  private void startResponse() {
    if (!started) {
      started = true;
      response.setChunked(true).putHeader("Content-Type", NDJSON_TYPE);
    }
  }

  private void writeLine(Object line) {
    if (!response.closed()) {
      response.write(JsonBodies.write(line).appendByte((byte) '\n'));
    }
  }
}
