package org.amaranthstream.calls;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.amaranthstream.ids.WorkspaceId;

/**
 * Request of a caller in the form in which it is forwarded.
 *
 * @param id the request id that the caller sent
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the end-to-end headers; must not be modified
 * @param body the complete body; must not be modified
 * @param workspace the workspace of the caller's key, empty without a known key
 * @param resumption the stream that the request resumes, empty if it begins a new response
 */
public record OutboundCall(
    String id,
    String method,
    String uri,
    MultiMap headers,
    Buffer body,
    Optional<WorkspaceId> workspace,
    Optional<StreamResumption> resumption) {

  /** Returns the call without its body, for the use after its end. */
  OutboundCall withoutBody() {
    return new OutboundCall(id, method, uri, headers, Buffer.buffer(), workspace, resumption);
  }
}
