package org.amaranthstream.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** JSON answers of the platform, and errors for answers that are none. */
final class PlatformJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlatformJson() {}

  /** Returns the JSON of an answer with {@code status}. */
  static Result<JsonNode> read(PlatformReply reply, int status) {
    if (check(reply, status) instanceof Result.Failure<PlatformReply> failure) {
      return Result.failure(failure.error());
    }
    try {
      byte[] body = ((PlatformReply.Answered) reply).body().getBytes();
      return Result.success(MAPPER.readTree(body));
    } catch (IOException e) {
      return Result.failure(
          ResultCode.PLATFORM_UNAVAILABLE, "answer is not JSON: " + e.getMessage());
    }
  }

  /** Returns {@code reply} if it is an answer with {@code status}. */
  static Result<PlatformReply> check(PlatformReply reply, int status) {
    if (reply instanceof PlatformReply.Answered answer && answer.status() == status) {
      return Result.success(reply);
    }
    return Result.failure(error(reply));
  }

  /** Returns the error that a reply means. */
  static ErrorDetail error(PlatformReply reply) {
    return ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, describe(reply));
  }

  private static String describe(PlatformReply reply) {
    if (reply instanceof PlatformReply.Answered answer) {
      return "the platform answered HTTP " + answer.status();
    }
    if (reply instanceof PlatformReply.Lost lost) {
      return "no answer of the platform: " + lost.reason();
    }
    return "no connection to the platform: " + ((PlatformReply.NotSent) reply).reason();
  }
}
