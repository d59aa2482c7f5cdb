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
record ModelResponse(String text, long tokens) {

  /** Reads an answer; empty text if it is none. */
  static ModelResponse parse(String json) {
    try {
      ModelResponse answer = Json.read(Buffer.buffer(json), ModelResponse.class);
      return new ModelResponse(answer.text() == null ? "" : answer.text(), answer.tokens());
    } catch (IOException e) {
      return new ModelResponse("", 0);
    }
  }
}
