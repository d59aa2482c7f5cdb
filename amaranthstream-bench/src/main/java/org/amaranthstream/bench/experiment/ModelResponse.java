package org.amaranthstream.bench.experiment;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.amaranthstream.standins.server.Json;

/**
 * Complete response of a model to a caller.
 *
 * @param text the generated text
 * @param tokens the number of tokens in the text
 */
record ModelResponse(String text, long tokens) {

  /** Parses a response body. Returns empty text and 0 tokens if it is not a model response. */
  static ModelResponse parse(String json) {
    try {
      ModelResponse response = Json.read(Buffer.buffer(json), ModelResponse.class);
      return new ModelResponse(response.text() == null ? "" : response.text(), response.tokens());
    } catch (IOException e) {
      return new ModelResponse("", 0);
    }
  }
}
