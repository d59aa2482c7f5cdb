package org.amaranthstream.platform;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Revision;

/** The outcome of a conditional write to the key-value service. */
public sealed interface WriteReply {

  /**
   * The write took effect.
   *
   * @param revision the revision of the written entry
   */
  record Written(Revision revision) implements WriteReply {}

  /**
   * The entry had another revision; the write did not take effect.
   *
   * @param current the entry's revision, 0 if there is none
   */
  record Conflict(Revision current) implements WriteReply {}

  /**
   * The write was sent but its response was lost; it may have taken effect.
   *
   * @param reason why the outcome is unknown
   */
  record Unknown(String reason) implements WriteReply {}

  /**
   * The write was not sent, or the service rejected it; it did not take effect.
   *
   * @param reason why it failed
   * @param retryAfter the delay before a retry, if known
   */
  record Unavailable(String reason, Optional<Duration> retryAfter) implements WriteReply {}
}
