package org.amaranthstream.jobs;

import org.amaranthstream.ids.RewardCallId;

/**
 * Call that scores the complete text of an item, as submitted with the item.
 *
 * <p>The call is idempotent. It is sent to a service by the route that matches its host and path.
 *
 * @param id the id of the call's request
 * @param host the host that selects the route
 * @param path the path of the request
 * @param body the body of the request; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record RewardCall(RewardCallId id, String host, String path, byte[] body) {}
