package org.amaranthstream.servers;

import java.time.Duration;
import java.util.Collections;
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
  /**
   * More than one recorded version suffices to know that a service had several, so the oldest may
   * be dropped.
   */
  private static final int MAX_VERSIONS = 16;

  private final long startNanos;
  private final Map<ServiceId, Map<SoftwareVersion, Long>> lastSeenNanos = new HashMap<>();

  SoftwareHistory(long startNanos) {
    this.startNanos = startNanos;
  }

  /** Records that a server is registered, or was registered until now. */
  void onSeen(ServerRegistration registration, long nowNanos) {
    Map<SoftwareVersion, Long> versions =
        lastSeenNanos.computeIfAbsent(registration.service(), unused -> new HashMap<>());
    versions.put(registration.softwareVersion(), nowNanos);
    if (versions.size() > MAX_VERSIONS) {
      versions.remove(Collections.min(versions.entrySet(), Map.Entry.comparingByValue()).getKey());
    }
  }

  /** Returns the number of versions that are recorded for a service. */
  int versionCount(ServiceId service) {
    return lastSeenNanos.getOrDefault(service, Map.of()).size();
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
