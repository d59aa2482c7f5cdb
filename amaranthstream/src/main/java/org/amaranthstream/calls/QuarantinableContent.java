package org.amaranthstream.calls;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.quarantine.Fingerprint;
import org.amaranthstream.servers.TrackedServer;
import org.jspecify.annotations.Nullable;

/**
 * Content of a caller's request, which is quarantined after crashes. The caller may send it again
 * under new request ids and to other daemons.
 *
 * <p>The fingerprint is computed when it is first needed, which is never while no server crashes.
 */
final class QuarantinableContent implements CallContent {
  private final CrashTracker tracker;
  private final String host;
  private final OutboundCall call;
  private @Nullable Fingerprint fingerprint;

  QuarantinableContent(CrashTracker tracker, String host, OutboundCall call) {
    this.tracker = tracker;
    this.host = host;
    this.call = call;
  }

  private Fingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = Fingerprint.ofCall(host, call.method() + " " + call.uri(), call.body());
    }
    return fingerprint;
  }

  @Override
  public Optional<Duration> remainingQuarantine() {
    return tracker.isEmpty() ? Optional.empty() : tracker.remainingQuarantine(fingerprint());
  }

  @Override
  public boolean isSuspect() {
    return !tracker.isEmpty() && tracker.isSuspect(fingerprint());
  }

  @Override
  public void onConnectionLost(TrackedServer server) {
    tracker.onConnectionLost(fingerprint(), server);
  }

  @Override
  public void onCompleted() {
    if (!tracker.isEmpty()) {
      tracker.onCompleted(fingerprint());
    }
  }

  @Override
  public String describe() {
    return fingerprint().toString();
  }
}
