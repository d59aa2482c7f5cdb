package org.amaranthstream.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.amaranthstream.time.TimerService;

/**
 * Finds out whether attempts without progress have a silent connection or a silent server.
 *
 * <p>One fresh connection at a time for each server answers for all of its silent attempts. Used on
 * the decision thread only.
 */
final class SilentAttemptProber {
  private final TimerService timers;
  private final ConnectionProbe probe;
  private final DispatchSettings settings;
  private final BiConsumer<ServerAttempt, Boolean> resultHandler;
  private final Map<ServerState, Set<ServerAttempt>> pending = new HashMap<>();

  /**
   * Creates a resolver.
   *
   * @param resultHandler is called for each silent attempt, with true if the server answered on a
   *     fresh connection
   */
  SilentAttemptProber(DispatcherParts parts, BiConsumer<ServerAttempt, Boolean> resultHandler) {
    this.timers = parts.timers();
    this.probe = parts.connectionProbe();
    this.settings = parts.settings();
    this.resultHandler = resultHandler;
  }

  /** Asks about a silent attempt, unless that is under way. */
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

  /** Takes the first answer to a probe; the set of its attempts tells it from a later probe. */
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
