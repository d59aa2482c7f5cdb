package org.amaranthstream.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Arrays;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * A successful answer of the administration API.
 *
 * @param generation the entity tag without quotes, empty if there is none
 * @param body the body
 */
record AdminAnswer(String generation, String body) {
  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final int HTTP_OK = 200;

  /** Returns the answer, or the error that its body names. */
  static Result<AdminAnswer> of(int status, @Nullable String entityTag, String body) {
    if (status == HTTP_OK) {
      String tag = entityTag == null ? "" : entityTag.replace("\"", "");
      return Result.success(new AdminAnswer(tag, body));
    }
    JsonNode error = json(body);
    ResultCode code =
        Arrays.stream(ResultCode.values())
            .filter(candidate -> candidate.name().equals(error.path("name").asText()))
            .findFirst()
            .orElse(ResultCode.INTERNAL);
    return Result.failure(code, error.path("message").asText("the daemon answered HTTP " + status));
  }

  JsonNode json() {
    return json(body);
  }

  private static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return MAPPER.createObjectNode();
    }
  }
}
