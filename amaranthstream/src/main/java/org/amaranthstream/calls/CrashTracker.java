package org.amaranthstream.calls;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.quarantine.Crash;
import org.amaranthstream.quarantine.Fingerprint;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Tracker of the crashes of backend servers and of the content that was in flight.
 *
 * <p>A lost connection counts as a crash of the server's incarnation, unless that incarnation
 * responds to a request that was sent later: then only the connection failed. That is no proof, as
 * a server may restart under its id, so lost runs are counted as well. Must be used on one thread.
 */
final class CrashTracker {
  private static final int MAX_SUSPECTED_CRASHES = 1_024;

  private final PoisonRegistry registry;
  private final TimerService timers;

  /** The time at which each suspected crash was detected, the oldest crash first. */
  private final Map<Crash, Long> detectedNanos =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Crash, Long> eldest) {
          return size() > MAX_SUSPECTED_CRASHES;
        }
      };

  CrashTracker(PoisonRegistry registry, TimerService timers) {
    this.registry = registry;
    this.timers = timers;
  }

  /** Returns true if no content has been in flight at a recent crash. */
  boolean isEmpty() {
    return registry.isEmpty();
  }

  Optional<Duration> remainingQuarantine(Fingerprint fingerprint) {
    return registry.remainingQuarantine(fingerprint, timers.nowNanos());
  }

  boolean isSuspect(Fingerprint fingerprint) {
    return registry.isSuspect(fingerprint, timers.nowNanos());
  }

  /** Records that {@code fingerprint} was in flight when the connection to a server was lost. */
  void onConnectionLost(Fingerprint fingerprint, TrackedServer server) {
    long now = timers.nowNanos();
    Crash crash = crashOf(server);
    detectedNanos.put(crash, now);
    registry.onCrash(fingerprint, crash, now);
    registry.onRunLost(fingerprint, now);
  }

  /** Records that a server responded to a request that was sent at {@code sentNanos}. */
  void onResponse(TrackedServer server, long sentNanos) {
    if (detectedNanos.isEmpty()) {
      return;
    }
    Crash crash = crashOf(server);
    Long detected = detectedNanos.get(crash);
    if (detected != null && sentNanos - detected > 0) {
      detectedNanos.remove(crash);
      registry.onCrashRefuted(crash);
    }
  }

  /** Records that a server completed its response to a request with {@code fingerprint}. */
  void onCompleted(Fingerprint fingerprint) {
    registry.onCompleted(fingerprint);
  }

  private static Crash crashOf(TrackedServer server) {
    String startMillis = Long.toString(server.registration().startMillis());
    return new Crash(server.id(), Optional.of(Incarnation.of(startMillis)));
  }
}
