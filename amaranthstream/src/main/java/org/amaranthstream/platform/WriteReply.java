package org.amaranthstream.platform;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Revision;

/** Reply to a conditional write of the key-value service. */
public sealed interface WriteReply {

  /**
   * The write took effect.
   *
   * @param revision the revision that the write made
   */
  record Written(Revision revision) implements WriteReply {}

  /**
   * The entry had another revision, and the write did not take effect.
   *
   * @param current the entry's revision, 0 if there is none
   */
  record Conflict(Revision current) implements WriteReply {}

  /**
   * The write was sent and its answer was lost; it may have taken effect.
   *
   * @param reason what was seen
   */
  record Unknown(String reason) implements WriteReply {}

  /**
   * The write did not take effect: not sent, or refused by the service.
   *
   * @param reason what was seen
   * @param retryAfter when the service asks to come back
   */
  record Unavailable(String reason, Optional<Duration> retryAfter) implements WriteReply {}
}
