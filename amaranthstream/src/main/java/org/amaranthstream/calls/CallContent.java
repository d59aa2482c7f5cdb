package org.amaranthstream.calls;

import org.amaranthstream.quarantine.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * The content of one call: what is equal when a caller sends the same request again under a new
 * request id. The fingerprint is computed when it is first needed. Not thread safe.
 */
final class CallContent {
  private final String host;
  private final OutboundCall call;
  private @Nullable Fingerprint fingerprint;

  CallContent(String host, OutboundCall call) {
    this.host = host;
    this.call = call;
  }

  Fingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint =
          Fingerprint.ofCall(host, call.method() + " " + call.uri(), call.body().getBytes());
    }
    return fingerprint;
  }
}
