package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Scheduler that starts the reward calls of all owned jobs, within the limit of each route.
 *
 * <p>Must be used on one thread.
 */
final class RewardScheduler implements RewardRunner.Observer {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final RoutingTable routing;
  private final ServerDirectory directory;
  private final RewardTransport transport;
  private final TimerService timers;
  private final ItemScheduler.Observer observer;
  private final List<OwnedJob> jobs = new ArrayList<>();
  private boolean isScheduling;
  private boolean isPollPlanned;

  RewardScheduler(
      RoutingTable routing,
      ServerDirectory directory,
      RewardTransport transport,
      TimerService timers,
      ItemScheduler.Observer observer) {
    this.routing = routing;
    this.directory = directory;
    this.transport = transport;
    this.timers = timers;
    this.observer = observer;
  }

  /** Adds a job, whose calls are started until it ends or all its items have a result. */
  void add(OwnedJob job) {
    if (job.hasRewardCalls()) {
      jobs.add(job);
      schedule();
    }
  }

  @Override
  public void onRewardCallEnded(OwnedJob job) {
    observer.onItemsChanged(job);
    schedule();
  }

  /** Starts all calls that can start, and runs again after an interval while texts wait. */
  void schedule() {
    if (isScheduling || jobs.isEmpty()) {
      return;
    }
    isScheduling = true;
    long now = timers.nowNanos();
    jobs.removeIf(job -> !job.isRunnable() || !job.hasOpenItems());
    jobs.sort(JobOrder.at(now));
    routing.current().ifPresent(config -> scheduleAll(config, now));
    isScheduling = false;
    if (!isPollPlanned && jobs.stream().anyMatch(OwnedJob::hasTextsToScore)) {
      isPollPlanned = true;
      timers.after(POLL_INTERVAL, this::poll);
    }
  }

  private void poll() {
    isPollPlanned = false;
    schedule();
  }

  private void scheduleAll(RoutingConfig config, long now) {
    Map<RouteId, Integer> running = countRunning(config);
    for (OwnedJob job : ImmutableList.copyOf(jobs)) {
      if (job.hasTextsToScore()) {
        scheduleJob(config, job, running, now);
      }
    }
  }

  private Map<RouteId, Integer> countRunning(RoutingConfig config) {
    Map<RouteId, Integer> running = new HashMap<>();
    for (OwnedJob job : jobs) {
      for (ItemProgress item : job.items()) {
        if (item.stage() == ItemStage.SCORE && item.isRunning()) {
          routeOf(config, item).ifPresent(route -> running.merge(route.id(), 1, Integer::sum));
        }
      }
    }
    return running;
  }

  private static Optional<Route> routeOf(RoutingConfig config, ItemProgress item) {
    return item.spec().rewardCall().flatMap(call -> config.find(call.host(), call.path()));
  }

  /** Starts the calls of one job; {@code running} counts the calls of each route. */
  private void scheduleJob(
      RoutingConfig config, OwnedJob job, Map<RouteId, Integer> running, long now) {
    Optional<Route> batchRoute =
        config
            .find(job.spec().host(), job.spec().path())
            .filter(route -> route.kind() == RouteKind.BATCH);
    if (batchRoute.isEmpty()) {
      return;
    }
    for (ItemProgress item : readyItems(job, now)) {
      Optional<Route> route = routeOf(config, item);
      if (route.isEmpty()) {
        item.retryLater(now, "no route matches the reward call");
      } else if (running.merge(route.get().id(), 1, Integer::sum) <= limit(route.get())) {
        start(job, item, route.get(), batchRoute.get());
      }
    }
  }

  private static List<ItemProgress> readyItems(OwnedJob job, long now) {
    List<ItemProgress> ready = new ArrayList<>();
    for (ItemProgress item : job.items()) {
      if (item.isReady(ItemStage.SCORE, now)) {
        ready.add(item);
      }
    }
    ready.sort(RewardCallPolicy.order(job));
    return ready;
  }

  private int limit(Route route) {
    List<TrackedServer> servers = new ArrayList<>();
    for (WeightedService service : route.services()) {
      servers.addAll(directory.available(service.service()));
    }
    return RewardCallPolicy.maxConcurrent(servers);
  }

  private void start(OwnedJob job, ItemProgress item, Route route, Route batchRoute) {
    if (!job.isRunnable()) {
      return;
    }
    int maxFailures = RewardCallPolicy.maxFailures(route, batchRoute);
    RewardRunner runner = new RewardRunner(job, item, route, maxFailures, timers, this);
    item.spec().rewardCall().ifPresent(call -> runner.start(transport, call));
  }
}
