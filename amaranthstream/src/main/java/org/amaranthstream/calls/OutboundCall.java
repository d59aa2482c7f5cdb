package org.amaranthstream.calls;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A caller's request as it is passed on.
 *
 * @param id the caller's id of the request
 * @param method the HTTP method
 * @param uri the path with the query
 * @param headers the end-to-end headers; not changed any more
 * @param body the whole body; not changed any more
 */
public record OutboundCall(String id, String method, String uri, MultiMap headers, Buffer body) {}
