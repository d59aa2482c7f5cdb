package org.amaranthstream.platform;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Revision;

/** The outcome of an HTTP call to the platform. */
public sealed interface PlatformReply {

  /** Returns a description of the outcome for an error message. */
  default String describe() {
    if (this instanceof Answered answered) {
      return "the service answered HTTP " + answered.status();
    }
    return this instanceof NotSent notSent ? notSent.reason() : ((Lost) this).reason();
  }

  /**
   * A complete response.
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
   * The call failed before anything was sent.
   *
   * @param reason why it failed
   * @param retryAfter the delay after which the rate limit of this process allows the call, empty
   *     if it failed for another reason
   */
  record NotSent(String reason, Optional<Duration> retryAfter) implements PlatformReply {

    /** Returns true if this process withheld the call, which says nothing about the platform. */
    public boolean isWithheld() {
      return retryAfter.isPresent();
    }
  }

  /**
   * The call may have been sent, but no complete response arrived.
   *
   * @param reason why it failed
   */
  record Lost(String reason) implements PlatformReply {}
}
