package org.amaranthstream.bench.experiment;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.amaranthstream.standins.server.Json;

/**
 * Whole answer of a model, as a caller gets it.
 *
 * @param text the text
 * @param tokens its number of tokens
 */
record Answer(String text, long tokens) {

  /** Reads an answer; empty text if it is none. */
  static Answer parse(String json) {
    try {
      Answer answer = Json.read(Buffer.buffer(json), Answer.class);
      return new Answer(answer.text() == null ? "" : answer.text(), answer.tokens());
    } catch (IOException e) {
      return new Answer("", 0);
    }
  }
}
