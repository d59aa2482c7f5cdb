package org.amaranthstream.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.placement.ServerHealth.State;
import org.amaranthstream.quarantine.Fingerprint;

/**
 * Finder of the servers and availability zones that can run a request.
 *
 * <p>A server that is eligible but temporarily unavailable is returned as a candidate without free
 * capacity, so that the request waits for it. Confined to the decision thread.
 */
final class CandidateFinder {
  /** Share of a server's concurrency limit that training requests leave to interactive requests. */
  private static final double INTERACTIVE_RESERVE = 0.125;

  private final ServerTable servers;
  private final ZoneTable zones;
  private final RequestQuarantine quarantine;
  private final long reportMaxAgeNanos;

  CandidateFinder(
      ServerTable servers, ZoneTable zones, RequestQuarantine quarantine, long reportMaxAgeNanos) {
    this.servers = servers;
    this.zones = zones;
    this.quarantine = quarantine;
    this.reportMaxAgeNanos = reportMaxAgeNanos;
  }

  /**
   * Returns the servers and zones that can run {@code request}.
   *
   * <p>A server is unavailable while it backs off, is ejected, or is on trial with an attempt in
   * flight; health is ignored if more than half of the eligible servers are ejected. A request that
   * is suspected of crashing servers runs on one server at a time, on none that runs another
   * suspect, and is forwarded to another zone only if no local server is eligible.
   */
  ImmutableList<Candidate> candidates(ActiveRequest request, long nowNanos) {
    ImmutableList<ServerState> eligible = eligible(request);
    ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
    boolean isSuspect = quarantine.isSuspect(request, nowNanos);
    boolean ignoresEjection = isMostlyEjected(eligible, nowNanos);
    boolean suspectIsRunning = isSuspect && isRunning(request.fingerprint, eligible);
    for (ServerState state : eligible) {
      boolean unavailable =
          state.isBackingOff(nowNanos)
              || suspectIsRunning
              || (isSuspect && runsSuspectedPoison(state, nowNanos))
              || (!ignoresEjection && isUnavailableByHealth(state, nowNanos));
      candidates.add(candidate(state, request.priority(), unavailable, nowNanos));
    }
    if (!isSuspect || eligible.isEmpty()) {
      candidates.addAll(zones.candidates(request, nowNanos));
    }
    return candidates.build();
  }

  /** Returns the sum of the concurrency limits of the servers of a pool that are not draining. */
  int slots(PoolId pool) {
    return servers.servers(pool).stream()
        .filter(state -> !state.isDraining())
        .mapToInt(state -> state.limit.limit())
        .sum();
  }

  /** Returns the state of a server that {@link #candidates} returned for {@code request}. */
  ServerState state(Candidate.Server candidate, ActiveRequest request) {
    for (ServerState state : servers.servers(request.work.pool())) {
      if (state.server.id().equals(candidate.server())) {
        return state;
      }
    }
    throw new IllegalStateException("server not in the pool of the request: " + candidate.server());
  }

  /** Returns the servers that can run {@code request}, those that failed it only if all did. */
  private ImmutableList<ServerState> eligible(ActiveRequest request) {
    ImmutableList<ServerState> capable =
        servers.servers(request.work.pool()).stream()
            .filter(state -> !state.isDraining() && hasVersion(state, request.work))
            .collect(ImmutableList.toImmutableList());
    ImmutableList<ServerState> untried =
        capable.stream()
            .filter(state -> !request.failedServers.contains(state.server.id()))
            .collect(ImmutableList.toImmutableList());
    return untried.isEmpty() ? capable : untried;
  }

  private static boolean hasVersion(ServerState state, Work work) {
    if (work.minimumVersion().isEmpty()) {
      return true;
    }
    Optional<WeightVersion> reported = state.report().flatMap(LoadReport::version);
    return reported.isPresent() && !work.minimumVersion().get().isAfter(reported.get());
  }

  private Candidate candidate(
      ServerState state, Priority priority, boolean unavailable, long nowNanos) {
    int limit = state.limit.limit();
    if (priority == Priority.TRAINING) {
      limit = Math.max(1, limit - (int) Math.ceil(limit * INTERACTIVE_RESERVE));
    }
    int load = state.load(nowNanos, reportMaxAgeNanos);
    return new Candidate.Server(
        state.server.id(), unavailable ? Math.max(load, limit) : load, limit);
  }

  private static boolean isMostlyEjected(List<ServerState> eligible, long nowNanos) {
    long ejected =
        eligible.stream().filter(s -> s.health.stateAt(nowNanos) == State.EJECTED).count();
    return 2 * ejected > eligible.size();
  }

  private static boolean isUnavailableByHealth(ServerState state, long nowNanos) {
    State healthState = state.health.stateAt(nowNanos);
    return healthState == State.EJECTED || (healthState == State.TRIAL && !state.running.isEmpty());
  }

  private boolean runsSuspectedPoison(ServerState state, long nowNanos) {
    return state.running.stream()
        .anyMatch(attempt -> quarantine.isSuspect(attempt.request, nowNanos));
  }

  private static boolean isRunning(Fingerprint fingerprint, List<ServerState> states) {
    return states.stream()
        .flatMap(state -> state.running.stream())
        .anyMatch(attempt -> attempt.request.fingerprint.equals(fingerprint));
  }
}
