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
final class SilenceResolver {
  private final TimerService timers;
  private final ConnectionProbe probe;
  private final DispatchSettings settings;
  private final BiConsumer<ServerAttempt, Boolean> verdict;
  private final Map<ServerState, Set<ServerAttempt>> asking = new HashMap<>();

  /**
   * Creates a resolver.
   *
   * @param verdict is called for each silent attempt, with true if the server answered on a fresh
   *     connection
   */
  SilenceResolver(DispatcherParts parts, BiConsumer<ServerAttempt, Boolean> verdict) {
    this.timers = parts.timers();
    this.probe = parts.connectionProbe();
    this.settings = parts.settings();
    this.verdict = verdict;
  }

  /** Asks about a silent attempt, unless that is under way. */
  void resolve(ServerAttempt attempt) {
    Set<ServerAttempt> waiting = asking.get(attempt.server);
    if (waiting != null) {
      waiting.add(attempt);
      return;
    }
    Set<ServerAttempt> first = new LinkedHashSet<>();
    first.add(attempt);
    asking.put(attempt.server, first);
    timers.after(settings.probeTimeout(), () -> answer(attempt.server, first, false));
    probe.probe(attempt.server.server, answered -> answer(attempt.server, first, answered));
  }

  /** Takes the first answer to a probe; the set of its attempts tells it from a later probe. */
  private void answer(ServerState server, Set<ServerAttempt> attempts, boolean answered) {
    if (asking.get(server) != attempts) {
      return;
    }
    asking.remove(server);
    for (ServerAttempt attempt : attempts) {
      if (!attempt.isClosed()) {
        verdict.accept(attempt, answered);
      }
    }
  }
}
