package org.amaranthstream.dispatch;

import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.BackendServerId;

/**
 * Metadata of a complete response.
 *
 * <p>The content of the response has been delivered in {@link Chunk}s before.
 *
 * @param server the backend server that completed the response
 * @param status HTTP status that a plain service returned; 200 for a model engine
 * @param contentType media type of the response
 * @param tokens number of tokens in the complete response; 0 for a plain service
 * @param finishReason why generation ended, as reported by the engine
 */
public record CompletedResponse(
    BackendServerId server,
    HttpStatus status,
    String contentType,
    long tokens,
    String finishReason) {}
