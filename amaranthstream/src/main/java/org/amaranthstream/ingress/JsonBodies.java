package org.amaranthstream.ingress;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Static methods that read and write the JSON bodies of the API for callers and trainers. */
final class JsonBodies {
  private static final ObjectMapper MAPPER = JsonMapper.builder().build();

  private JsonBodies() {}

  /** Parses {@code json}; returns an {@code INVALID_REQUEST} error if it is not valid. */
  static <T> Result<T> read(Buffer json, Class<T> type) {
    try {
      T value = MAPPER.readValue(json.getBytes(), type);
      return value == null
          ? Result.failure(ResultCode.INVALID_REQUEST, "the body is null, expected a JSON object")
          : Result.success(value);
    } catch (JsonProcessingException e) {
      return Result.failure(
          ResultCode.INVALID_REQUEST, "the JSON body is invalid: " + e.getOriginalMessage());
    } catch (IOException e) {
      return Result.failure(
          ResultCode.INVALID_REQUEST, "the body cannot be read: " + e.getMessage());
    }
  }

  /** Parses the body of a request; returns an {@code INVALID_REQUEST} error if it is not valid. */
  static <T> Result<T> readBody(RoutingContext routing, Class<T> type) {
    Buffer body = routing.body().buffer();
    return read(body == null ? Buffer.buffer() : body, type);
  }

  static Buffer write(Object value) {
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the response body cannot be serialized as JSON", e);
    }
  }
}
