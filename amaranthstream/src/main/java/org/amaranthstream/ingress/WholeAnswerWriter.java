package org.amaranthstream.ingress;

import io.vertx.core.http.HttpServerResponse;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.CompletedResponse;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.RequestId;

/** Answers with one JSON object once the whole answer of a model engine is there. */
final class WholeAnswerWriter implements AnswerWriter {
  private static final int HTTP_OK = 200;

  private final HttpServerResponse response;
  private final RequestId id;
  private final StringBuilder text = new StringBuilder();
  private final Segments segments = new Segments();

  WholeAnswerWriter(HttpServerResponse response, RequestId id) {
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
      CompletedResponse answer = completed.answer();
      HttpAnswers.json(
          response,
          HTTP_OK,
          new AnswerBody(
              id.toString(),
              text.toString(),
              answer.tokens(),
              answer.finishReason(),
              segments.toList(),
              null));
    } else {
      Outcomes.writeError(response, id, outcome);
    }
  }

  @Override
  public boolean isOverrun() {
    return false;
  }
}
