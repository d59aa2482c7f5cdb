package org.amaranthstream.dispatch;

import org.amaranthstream.ids.BackendServerId;

/**
 * End of a whole answer whose parts were given before.
 *
 * @param server the backend server that finished it
 * @param status HTTP status of a plain service, 200 for a model engine
 * @param contentType media type of the answer
 * @param tokens number of tokens of the whole answer, 0 for a plain service
 * @param finishReason why generation ended, as the engine says
 */
public record CompletedResponse(
    BackendServerId server, int status, String contentType, long tokens, String finishReason) {}
