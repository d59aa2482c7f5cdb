package org.amaranthstream.dispatch.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;

/** Reader and writer of the JSON bodies of the backend protocol. */
final class WireJson {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private WireJson() {}

  static <T> T read(Buffer json, Class<T> type) throws IOException {
    return MAPPER.readValue(json.getBytes(), type);
  }

  static Buffer write(Object body) {
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to write the request body as JSON", e);
    }
  }
}
