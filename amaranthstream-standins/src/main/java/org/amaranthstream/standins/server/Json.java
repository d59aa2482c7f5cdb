package org.amaranthstream.standins.server;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON serialization and parsing. Thread safe. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .serializationInclusion(JsonInclude.Include.NON_NULL)
          .build();

  private Json() {}

  /** Returns the JSON text of {@code value}. */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses {@code bytes} as a {@code type}; ignores unknown fields.
   *
   * @throws IOException if {@code bytes} is not valid JSON of that type
   */
  public static <T> T read(Buffer bytes, Class<T> type) throws IOException {
    return MAPPER.readValue(bytes.getBytes(), type);
  }

  /**
   * Sets those fields of {@code target} that the JSON object in {@code bytes} contains.
   *
   * @throws IOException if a field is unknown or its value has the wrong type
   */
  public static void update(Object target, Buffer bytes) throws IOException {
    MAPPER
        .readerForUpdating(target)
        .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .readValue(bytes.getBytes());
  }
}
