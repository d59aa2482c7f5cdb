package org.amaranthstream.ingress;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** JSON bodies of the callers' and trainers' protocol. */
final class Json {
  private static final ObjectMapper MAPPER = JsonMapper.builder().build();

  private Json() {}

  /** Returns the object that {@code json} holds, or an {@code INVALID_REQUEST} error. */
  static <T> Result<T> read(Buffer json, Class<T> type) {
    try {
      T value = MAPPER.readValue(json.getBytes(), type);
      return value == null
          ? Result.failure(ResultCode.INVALID_REQUEST, "the body is null, expected a JSON object")
          : Result.success(value);
    } catch (JsonProcessingException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "body: " + e.getOriginalMessage());
    } catch (IOException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "body: " + e.getMessage());
    }
  }

  /** Returns the object that the body of a call holds, or an {@code INVALID_REQUEST} error. */
  static <T> Result<T> readBody(RoutingContext routing, Class<T> type) {
    Buffer body = routing.body().buffer();
    return read(body == null ? Buffer.buffer() : body, type);
  }

  static Buffer write(Object value) {
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("answer cannot be written as JSON", e);
    }
  }
}
