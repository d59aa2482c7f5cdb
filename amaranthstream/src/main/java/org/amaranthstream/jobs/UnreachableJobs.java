package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.ReachMonitor;
import org.amaranthstream.time.TimerService;

/**
 * Handoff of the jobs whose backend servers this daemon does not reach to peers that reach them.
 *
 * <p>Made for a partition between this VM and all servers of a job, during which its items make no
 * progress although the peers could run them. A peer takes a job over only after it has verified
 * that it reaches the servers, so that no job is handed on in circles while the servers are down
 * for all. Must be used on one thread.
 */
final class UnreachableJobs {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_DELAY = Duration.ofMillis(1_500);

  private final JobRegistry registry;
  private final JobHandoff handoff;
  private final RoutingTable routing;
  private final ReachMonitor reach;
  private final TimerService timers;
  private final Set<JobId> inProgress = new HashSet<>();
  private boolean isRetryPlanned;

  UnreachableJobs(
      JobRegistry registry,
      JobHandoff handoff,
      RoutingTable routing,
      ReachMonitor reach,
      TimerService timers) {
    this.registry = registry;
    this.handoff = handoff;
    this.routing = routing;
    this.reach = reach;
    this.timers = timers;
    reach.addListener(this::check);
  }

  /**
   * Offers the jobs whose servers are not reached to peers, and again until they are handed off.
   */
  void check() {
    for (OwnedJob job : registry.owned()) {
      if (isUnreachable(job)) {
        offer(job);
        planRetry();
      }
    }
  }

  private boolean isUnreachable(OwnedJob job) {
    Optional<Route> route =
        routing.current().flatMap(config -> config.find(job.spec().host(), job.spec().path()));
    return job.isRunnable()
        && job.hasOpenItems()
        && route.filter(found -> found.kind() == RouteKind.BATCH).isPresent()
        && route.get().services().stream()
            .filter(service -> service.weight() > 0)
            .allMatch(service -> reach.isLost(service.service()));
  }

  private void offer(OwnedJob job) {
    if (!inProgress.add(job.id())) {
      return;
    }
    logger.atInfo().log("event=job_unreachable job=%s", job.id());
    handoff.handOffToReachingPeer(job).thenRun(() -> inProgress.remove(job.id()));
  }

  private void planRetry() {
    if (!isRetryPlanned) {
      isRetryPlanned = true;
      timers.after(RETRY_DELAY, this::retry);
    }
  }

  private void retry() {
    isRetryPlanned = false;
    check();
  }
}
