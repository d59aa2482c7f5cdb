package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.RequestPermits;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.SlowServers;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Scheduler that starts the waiting items of all owned jobs at servers with free slots.
 *
 * <p>Must be used on one thread.
 */
final class ItemScheduler implements ItemRunner.Observer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final RoutingTable routing;
  private final ServerDirectory directory;
  private final ServerChoice choice;
  private final ItemTransport transport;
  private final TimerService timers;
  private final ItemPermits permits;
  private final Observer observer;
  private final List<OwnedJob> jobs = new ArrayList<>();
  private boolean isScheduling;
  private boolean isPollPlanned;

  /** Observer of changes to the items of jobs. */
  @FunctionalInterface
  interface Observer {
    /** Called when items of the job may have finished. */
    void onItemsChanged(OwnedJob job);
  }

  ItemScheduler(
      RoutingTable routing,
      ServerDirectory directory,
      ServerChoice choice,
      ItemTransport transport,
      RequestPermits permits,
      TimerService timers,
      Observer observer) {
    this.routing = routing;
    this.directory = directory;
    this.choice = choice;
    this.transport = transport;
    this.timers = timers;
    this.permits = new ItemPermits(permits, timers, this::schedule);
    this.observer = observer;
    directory.addListener(this::schedule);
  }

  void add(OwnedJob job) {
    jobs.add(job);
    schedule();
  }

  @Override
  public void onRunEnded(OwnedJob job) {
    observer.onItemsChanged(job);
    schedule();
  }

  /** Starts all items that can start, and runs again after an interval while jobs are open. */
  void schedule() {
    if (isScheduling) {
      return;
    }
    isScheduling = true;
    long now = timers.nowNanos();
    jobs.removeIf(job -> !job.isRunnable() || !job.hasOpenItems());
    jobs.sort(JobOrder.at(now));
    for (OwnedJob job : ImmutableList.copyOf(jobs)) {
      scheduleJob(job, now);
    }
    isScheduling = false;
    if (!jobs.isEmpty() && !isPollPlanned) {
      isPollPlanned = true;
      timers.after(POLL_INTERVAL, this::poll);
    }
  }

  private void poll() {
    isPollPlanned = false;
    schedule();
  }

  private void scheduleJob(OwnedJob job, long now) {
    Optional<RoutingConfig> config = routing.current();
    if (config.isEmpty()) {
      return;
    }
    Optional<Route> route = routeOf(config.get(), job.spec());
    if (route.isEmpty()) {
      giveUpOpenItems(job, "no batch route matches the host and path of the job");
      return;
    }
    if (job.age(now).compareTo(route.get().itemTimeout()) >= 0) {
      giveUpOpenItems(job, "the item timeout of the route has expired");
      return;
    }
    startItems(job, route.get(), now);
  }

  private static Optional<Route> routeOf(RoutingConfig config, JobSpec spec) {
    return config.find(spec.host(), spec.path()).filter(r -> r.kind() == RouteKind.BATCH);
  }

  private void startItems(OwnedJob job, Route route, long now) {
    ItemRules rules = new ItemRules(route.maxAttempts(), route.isSingleVersion());
    SlowServers slow = SlowServers.among(servers(route), now);
    ItemAssignment assignment = ItemAssignment.of(job, servers(route), slow, now);
    List<TrackedServer> idle = new ArrayList<>();
    while (job.isRunnable()) {
      Optional<TrackedServer> server = chooseServer(job, route, slow, assignment, now);
      if (server.isEmpty()) {
        break;
      }
      Optional<ItemProgress> item = assignment.takeItemFor(server.get());
      if (item.isEmpty()) {
        idle.add(server.get());
        continue;
      }
      permits.onStarted(server.get());
      new ItemRunner(job, item.get(), server.get(), rules, directory, timers, this)
          .start(transport);
    }
    requestPermits(job, route, assignment, now);
    idle.forEach(server -> moveItemFromSlowServer(job, slow, server));
  }

  /**
   * Cancels one run at a slow server, because no item waits and {@code free} has a free slot and
   * can continue the item's text. The item resumes when the job is scheduled next.
   */
  private void moveItemFromSlowServer(OwnedJob job, SlowServers slow, TrackedServer free) {
    if (slow.contains(free)) {
      return;
    }
    for (ItemProgress item : job.items()) {
      Optional<ItemRunner> runner = item.runner();
      boolean isMovable = item.text().canContinueAt(free.registration().softwareVersion());
      if (runner.isPresent() && isMovable && slow.contains(runner.get().server())) {
        logger.atInfo().log(
            "event=item_moved job=%s item=%s from=%s last_event=%d",
            job.id(), item.spec().id(), runner.get().server().id(), item.text().lastEvent());
        runner.get().cancelAndRetry();
        return;
      }
    }
  }

  private List<TrackedServer> servers(Route route) {
    List<TrackedServer> servers = new ArrayList<>();
    route.services().stream()
        .filter(service -> service.weight() > 0)
        .forEach(service -> servers.addAll(directory.available(service.service())));
    return servers;
  }

  /** Returns a server with a free slot, a slow one only if there is no other. */
  private Optional<TrackedServer> chooseServer(
      OwnedJob job, Route route, SlowServers slow, ItemAssignment assignment, long now) {
    List<TrackedServer> free =
        withFreeSlots(servers(route), job, now).stream()
            .filter(server -> !assignment.isIdle(server) && permits.mayStart(server))
            .toList();
    Optional<TrackedServer> fast = choice.choose(free, server -> !slow.contains(server), now);
    return fast.isPresent() ? fast : choice.choose(free, server -> true, now);
  }

  /** Asks for permits for the servers that could run the items that wait. */
  private void requestPermits(OwnedJob job, Route route, ItemAssignment assignment, long now) {
    withFreeSlots(servers(route), job, now).stream()
        .filter(server -> !permits.mayStart(server) && assignment.hasItemFor(server))
        .forEach(permits::request);
  }

  private List<TrackedServer> withFreeSlots(List<TrackedServer> servers, OwnedJob job, long now) {
    return servers.stream()
        .filter(server -> server.inFlight() < server.registration().slots())
        .filter(server -> !server.isAvoided(now))
        .filter(server -> hasAllowedVersion(server, job))
        .toList();
  }

  /** Also allows a server that reports no version, as each event is checked when it arrives. */
  private static boolean hasAllowedVersion(TrackedServer server, OwnedJob job) {
    Optional<WeightVersion> version = server.version(job.spec().model());
    return version.isEmpty() || !job.spec().minVersion().isAfter(version.get());
  }

  private void giveUpOpenItems(OwnedJob job, String reason) {
    logger.atWarning().log("event=items_given_up job=%s reason=\"%s\"", job.id(), reason);
    for (ItemProgress item : job.items()) {
      if (!item.isFinished()) {
        job.giveUp(item);
      }
    }
    observer.onItemsChanged(job);
  }
}
