package org.amaranthstream.ingress;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.ids.AffinityKey;

/**
 * A call whose headers and body were checked.
 *
 * @param workClass the class
 * @param payload what to run
 * @param affinity the key that calls with a common prompt prefix share
 * @param idempotencyKey the caller's key
 * @param timeLimit time within which the caller wants its answer
 * @param streamed true if the caller wants parts as they come
 */
record CallRequest(
    WorkClass workClass,
    Payload payload,
    Optional<AffinityKey> affinity,
    Optional<String> idempotencyKey,
    Duration timeLimit,
    boolean streamed) {}
