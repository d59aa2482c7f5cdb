package org.amaranthstream.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.amaranthstream.time.TimerService;

/**
 * Prober that distinguishes a stalled connection from an unresponsive server.
 *
 * <p>Opens at most one probe connection to a server at a time; its result applies to all stalled
 * attempts of that server. Used on the decision thread only.
 */
final class StalledAttemptProber {
  private final TimerService timers;
  private final ConnectionProbe probe;
  private final DispatchSettings settings;
  private final BiConsumer<ServerAttempt, Boolean> resultHandler;
  private final Map<ServerState, Set<ServerAttempt>> pending = new HashMap<>();

  /**
   * Creates a prober.
   *
   * @param resultHandler called for each stalled attempt, with true if the server answered on the
   *     probe connection before the timeout
   */
  StalledAttemptProber(DispatcherParts parts, BiConsumer<ServerAttempt, Boolean> resultHandler) {
    this.timers = parts.timers();
    this.probe = parts.connectionProbe();
    this.settings = parts.settings();
    this.resultHandler = resultHandler;
  }

  /** Probes the server of a stalled attempt, or joins a probe that is in progress. */
  void probe(ServerAttempt attempt) {
    Set<ServerAttempt> waiting = pending.get(attempt.server);
    if (waiting != null) {
      waiting.add(attempt);
      return;
    }
    Set<ServerAttempt> attempts = new LinkedHashSet<>();
    attempts.add(attempt);
    pending.put(attempt.server, attempts);
    timers.after(settings.probeTimeout(), () -> complete(attempt.server, attempts, false));
    probe.probe(attempt.server.server, answered -> complete(attempt.server, attempts, answered));
  }

  /**
   * Handles the first result of a probe, the response or the timeout, and ignores the second. The
   * identity of {@code attempts} distinguishes the probe from a later one to the same server.
   */
  private void complete(ServerState server, Set<ServerAttempt> attempts, boolean answered) {
    if (pending.get(server) != attempts) {
      return;
    }
    pending.remove(server);
    for (ServerAttempt attempt : attempts) {
      if (!attempt.isClosed()) {
        resultHandler.accept(attempt, answered);
      }
    }
  }
}
