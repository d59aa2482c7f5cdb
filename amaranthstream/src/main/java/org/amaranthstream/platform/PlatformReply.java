package org.amaranthstream.platform;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;

/** Reply to a call to the platform. */
sealed interface PlatformReply {
  /**
   * The service answered.
   *
   * @param status the HTTP status
   * @param body the body
   * @param revision the revision that the answer names
   * @param retryAfter seconds after which the service asks to come back
   */
  record Answered(int status, Buffer body, Optional<String> revision, Optional<String> retryAfter)
      implements PlatformReply {
    private static final int MAX_DIGITS = 6;

    Optional<Duration> comeBack() {
      return retryAfter
          .filter(s -> !s.isEmpty() && s.length() <= MAX_DIGITS)
          .filter(s -> s.chars().allMatch(c -> c >= '0' && c <= '9'))
          .map(s -> Duration.ofSeconds(Long.parseLong(s)));
    }
  }

  /**
   * The call was sent and its answer was lost.
   *
   * @param reason what was seen
   */
  record Lost(String reason) implements PlatformReply {}

  /**
   * Nothing was sent.
   *
   * @param reason what was seen
   */
  record NotSent(String reason) implements PlatformReply {}
}
