package org.amaranthstream.ingress;

import io.vertx.core.http.HttpServerResponse;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;

/** Answers with one JSON object a line, as parts of a model engine's answer come. */
final class StreamAnswerWriter implements AnswerWriter {
  private static final int MAX_QUEUED_BYTES = 256 * 1024;
  private static final String STREAM = "application/x-ndjson";

  private final HttpServerResponse response;
  private final RequestId id;
  private final Segments segments = new Segments();
  private boolean started;

  StreamAnswerWriter(HttpServerResponse response, RequestId id) {
    this.response = response;
    this.id = id;
    response.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
  }

  @Override
  public void write(Chunk chunk) {
    segments.add(chunk);
    start();
    Long version = chunk.version().map(WeightVersion::value).orElse(null);
    writeLine(new PartBody(chunk.text(), chunk.tokens(), version));
  }

  @Override
  public void end(Outcome outcome) {
    if (outcome instanceof Outcome.Completed completed) {
      CompletedResponse answer = completed.answer();
      start();
      writeLine(
          new AnswerBody(
              id.toString(),
              null,
              answer.tokens(),
              answer.finishReason(),
              segments.toList(),
              true));
    } else if (started) {
      writeLine(EndErrorBody.of(Outcomes.errorBody(id, outcome)));
    } else {
      Outcomes.writeError(response, id, outcome);
      return;
    }
    if (!response.closed()) {
      response.end();
    }
  }

  @Override
  public boolean isOverrun() {
    return response.writeQueueFull();
  }

  private void start() {
    if (!started) {
      started = true;
      response.setChunked(true).putHeader("Content-Type", STREAM);
    }
  }

  private void writeLine(Object line) {
    if (!response.closed()) {
      response.write(Json.write(line).appendByte((byte) '\n'));
    }
  }
}
