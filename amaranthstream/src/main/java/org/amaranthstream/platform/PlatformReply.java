package org.amaranthstream.platform;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Revision;

/** How a call to the platform ended. */
public sealed interface PlatformReply {

  /** Returns what was seen, as a sentence for a person. */
  default String describe() {
    if (this instanceof Answered answered) {
      return "the service answered HTTP " + answered.status();
    }
    return this instanceof NotSent notSent ? notSent.reason() : ((Lost) this).reason();
  }

  /**
   * The service answered whole.
   *
   * @param status the HTTP status
   * @param revision the {@code Revision} header
   * @param retryAfter the {@code Retry-After} header
   * @param body the body
   */
  record Answered(
      int status, Optional<Revision> revision, Optional<Duration> retryAfter, Buffer body)
      implements PlatformReply {}

  /**
   * No byte of the call was sent.
   *
   * @param reason what was seen
   * @param retryAfter when to come back
   */
  record NotSent(String reason, Optional<Duration> retryAfter) implements PlatformReply {}

  /**
   * The call may have been sent, and no whole answer came.
   *
   * @param reason what was seen
   */
  record Lost(String reason) implements PlatformReply {}
}
