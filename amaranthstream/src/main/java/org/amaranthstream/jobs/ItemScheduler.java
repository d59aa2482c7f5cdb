package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.RequestPermits;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.slots.SlotDemand;
import org.amaranthstream.slots.WorkOrder;
import org.amaranthstream.time.TimerService;

/**
 * Scheduler that starts the waiting items of all owned jobs at servers with free slots.
 *
 * <p>Must be used on one thread.
 */
final class ItemScheduler implements ItemRunner.Observer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  /** The time after which a daemon has applied a configuration that its peers have applied. */
  static final Duration MAX_CONFIG_DELAY = Duration.ofSeconds(4);

  /** Texts up to this length are not discarded for lack of memory. */
  private static final int MIN_LONG_TEXT_BYTES = 64 * 1024;

  private final RoutingTable routing;
  private final ServerChoice choice;
  private final ItemStarter starter;
  private final ItemSchedulingOptions options;
  private final OwnershipCheck ownership;

  /** The parts of {@link #options} that the current configuration calls for. */
  private ItemSchedulingOptions inUse = ItemSchedulingOptions.OFF;

  private Optional<RoutingConfig> lastConfig = Optional.empty();
  private final ExpectedEvents expectedEvents = new ExpectedEvents();
  private final WaitingItemsLog waitingLog = new WaitingItemsLog();
  private final TimerService timers;
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
      ItemSchedulingOptions options,
      OwnershipCheck ownership,
      TimerService timers,
      Observer observer) {
    this.routing = routing;
    this.choice = choice;
    this.timers = timers;
    this.starter =
        new ItemStarter(directory, transport, permits, () -> inUse, timers, this, this::schedule);
    this.options = options;
    this.ownership = ownership;
    this.observer = observer;
    options.slots().setListener(this::schedule);
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

  @Override
  public void onTextComplete(long expectedTokens, long events) {
    expectedEvents.onTextComplete(expectedTokens, events);
  }

  @Override
  public void onServerFull(TrackedServer server) {
    inUse.slots().onRejected(server);
  }

  /** Starts all items that can start, and runs again after an interval while jobs are open. */
  void schedule() {
    if (isScheduling) {
      return;
    }
    isScheduling = true;
    applyConfig();
    long now = timers.nowNanos();
    jobs.removeIf(job -> !job.isRunnable() || !job.hasOpenItems());
    jobs.sort(JobOrder.at(now));
    Map<OwnedJob, Route> routes = new LinkedHashMap<>();
    for (OwnedJob job : usableJobs()) {
      runnableRoute(job, now).ifPresent(route -> routes.put(job, route));
    }
    if (inUse.isFairOrder()) {
      startByShare(routes, now);
    } else {
      routes.forEach((job, route) -> startAll(passOf(job, route, now)));
    }
    isScheduling = false;
    setDemand(routes, now);
    if (!jobs.isEmpty() && !isPollPlanned) {
      isPollPlanned = true;
      timers.after(POLL_INTERVAL, this::poll);
    }
  }

  /**
   * Discards the longest texts of running items until {@code bytes} are free. Texts of usual length
   * are kept, and what is discarded is generated again.
   */
  void discardLongTexts(long bytes) {
    long freed = 0;
    Optional<ItemProgress> longest = longestText();
    while (freed < bytes && longest.isPresent()) {
      freed += longest.get().text().size();
      longest.get().runner().ifPresent(ItemRunner::discard);
      longest = longestText();
    }
  }

  private Optional<ItemProgress> longestText() {
    return jobs.stream()
        .flatMap(job -> Streams.stream(job.items()))
        .filter(item -> item.runner().isPresent() && item.text().size() > MIN_LONG_TEXT_BYTES)
        .max(Comparator.comparingInt(item -> item.text().size()));
  }

  /** Returns the jobs, none of them while it is unknown whether this daemon still owns them. */
  private ImmutableList<OwnedJob> usableJobs() {
    boolean mayUse = !jobs.isEmpty() && ownership.mayUseJobs();
    return mayUse ? ImmutableList.copyOf(jobs) : ImmutableList.of();
  }

  private void applyConfig() {
    Optional<RoutingConfig> config = routing.current();
    if (config.isPresent() && !config.equals(lastConfig)) {
      lastConfig = config;
      inUse = options.calledForBy(config.get());
    }
  }

  private static void startAll(JobPass pass) {
    boolean mayStart = true;
    while (mayStart) {
      mayStart = pass.startNext();
    }
    pass.finish();
  }

  /** Starts one item at a time, of the job that has the smallest share of the slots. */
  private void startByShare(Map<OwnedJob, Route> routes, long now) {
    Map<OwnedJob, JobPass> open = new LinkedHashMap<>();
    routes.forEach((job, route) -> open.put(job, passOf(job, route, now)));
    while (!open.isEmpty()) {
      List<WorkOrder.Candidate<OwnedJob>> candidates = new ArrayList<>();
      open.keySet().forEach(job -> candidates.add(candidate(job, routes.get(job), now)));
      OwnedJob next = WorkOrder.byShare(candidates).get(0).work();
      if (!open.get(next).startNext()) {
        open.remove(next).finish();
      }
    }
  }

  private WorkOrder.Candidate<OwnedJob> candidate(OwnedJob job, Route route, long now) {
    return new WorkOrder.Candidate<>(
        job, demand(job, route, now), route.runObjective().minus(job.age(now)));
  }

  private SlotDemand demand(OwnedJob job, Route route, long now) {
    return ItemDemand.of(job, route, options.workspaces().apply(job.spec()), now);
  }

  private void setDemand(Map<OwnedJob, Route> routes, long now) {
    List<WaitingItemsLog.Entry> entries = new ArrayList<>();
    routes.forEach(
        (job, route) -> {
          if (job.isRunnable()) {
            entries.add(new WaitingItemsLog.Entry(job, demand(job, route, now)));
          }
        });
    waitingLog.log(entries, job -> starter.waitReason(routes.get(job), job), now);
    ImmutableList<SlotDemand> demands =
        entries.stream()
            .map(WaitingItemsLog.Entry::demand)
            .collect(ImmutableList.toImmutableList());
    boolean areSlotsShared = inUse.slots() == options.slots();
    options.slots().setDemand(areSlotsShared ? demands : ImmutableList.of());
  }

  private void poll() {
    isPollPlanned = false;
    schedule();
  }

  /** Returns the route of a job whose items may run; gives up the items of any other job. */
  private Optional<Route> runnableRoute(OwnedJob job, long now) {
    Optional<RoutingConfig> config = routing.current();
    if (config.isEmpty()) {
      return Optional.empty();
    }
    Optional<Route> route = routeOf(config.get(), job.spec());
    if (route.isEmpty()) {
      giveUpWithoutRoute(job, now);
      return Optional.empty();
    }
    job.markRouted();
    if (job.ownedTime(now).compareTo(route.get().itemTimeout()) >= 0) {
      giveUpOpenItems(job, "the item timeout of the route has expired");
      return Optional.empty();
    }
    return route;
  }

  /** Gives up the items, unless the configuration may be older than the route of the job. */
  private void giveUpWithoutRoute(OwnedJob job, long now) {
    if (job.wasRouted() || job.ownedTime(now).compareTo(MAX_CONFIG_DELAY) >= 0) {
      giveUpOpenItems(job, "no batch route matches the host and path of the job");
    }
  }

  private static Optional<Route> routeOf(RoutingConfig config, JobSpec spec) {
    return config.find(spec.host(), spec.path()).filter(r -> r.kind() == RouteKind.BATCH);
  }

  private JobPass passOf(OwnedJob job, Route route, long now) {
    ImmutableSet<GroupId> needed = inUse.isFairOrder() ? job.neededGroups() : ImmutableSet.of();
    return inUse.isExpectedEnd()
        ? new ExpectedEndPass(
            job, route, starter, choice, expectedEvents, inUse.promptCosts(), needed, now)
        : new LeastLoadedPass(job, route, starter, choice, needed, now);
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
