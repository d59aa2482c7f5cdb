package org.amaranthstream.servers;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;

/**
 * History of the software versions that the servers of each service have registered.
 *
 * <p>Not thread safe. Callers pass times as monotonic nanoseconds.
 */
final class SoftwareHistory {
  private final long startNanos;
  private final Map<ServiceId, Map<SoftwareVersion, Long>> lastSeenNanos = new HashMap<>();

  SoftwareHistory(long startNanos) {
    this.startNanos = startNanos;
  }

  /** Records that a server is registered, or was registered until now. */
  void onSeen(ServerRegistration registration, long nowNanos) {
    lastSeenNanos
        .computeIfAbsent(registration.service(), unused -> new HashMap<>())
        .put(registration.softwareVersion(), nowNanos);
  }

  /**
   * Returns the only version that a service has had for at least {@code period}, empty if it had
   * several or the history is shorter. The versions of the servers that are still registered must
   * have been passed to {@link #onSeen}.
   */
  Optional<SoftwareVersion> onlyVersion(ServiceId service, Duration period, long nowNanos) {
    if (nowNanos - startNanos < period.toNanos()) {
      return Optional.empty();
    }
    Map<SoftwareVersion, Long> versions =
        lastSeenNanos.computeIfAbsent(service, unused -> new HashMap<>());
    versions.values().removeIf(seen -> nowNanos - seen > period.toNanos());
    return versions.size() == 1
        ? Optional.of(versions.keySet().iterator().next())
        : Optional.empty();
  }
}
