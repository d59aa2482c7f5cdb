package org.amaranthstream.ingress;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.ids.AffinityKey;

/**
 * A call whose headers and body are valid.
 *
 * @param workClass work class of the call
 * @param payload content that the backend server processes
 * @param affinity key that calls with a common prompt prefix share
 * @param idempotencyKey idempotency key that the caller sent
 * @param timeLimit maximum time from the arrival of the call to the end of its response
 * @param streamed true if the caller requests each chunk as it is generated
 */
record CallRequest(
    WorkClass workClass,
    Payload payload,
    Optional<AffinityKey> affinity,
    Optional<String> idempotencyKey,
    Duration timeLimit,
    boolean streamed) {}
