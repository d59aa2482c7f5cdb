package org.amaranthstream.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Arrays;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * A successful response of the administration API.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the configuration generation from the entity tag; empty if there is no tag
 * @param body the body
 */
record AdminResponse(String generation, String body) {
  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final int HTTP_OK = 200;

  /**
   * Returns the response if its status is 200. Otherwise returns the error that its body contains,
   * with {@link ResultCode#INTERNAL} if the body contains no valid result code.
   */
  static Result<AdminResponse> of(int status, @Nullable String entityTag, String body) {
    if (status == HTTP_OK) {
      String tag = entityTag == null ? "" : entityTag.replace("\"", "");
      return Result.success(new AdminResponse(tag, body));
    }
    JsonNode error = json(body);
    ResultCode code =
        Arrays.stream(ResultCode.values())
            .filter(candidate -> candidate.name().equals(error.path("name").asText()))
            .findFirst()
            .orElse(ResultCode.INTERNAL);
    return Result.failure(
        code, error.path("message").asText("the daemon responded with HTTP status " + status));
  }

  /** Returns the body as JSON; an empty object if it is not valid JSON. */
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
