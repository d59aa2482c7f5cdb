package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.routing.Route;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.TrackedServer;

/**
 * Pass that starts each item where its run is expected to end first, the longest items first. A
 * server that is much slower than the others gets the shortest items.
 */
final class ExpectedEndPass implements JobPass {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final OwnedJob job;
  private final Route route;
  private final ItemStarter starter;
  private final ExpectedEvents events;
  private final ItemPromptCosts promptCosts;
  private final ServerPaces paces;
  private final ItemAssignment assignment;
  private final Set<TrackedServer> withoutItem = new HashSet<>();
  private final long nowNanos;

  ExpectedEndPass(
      OwnedJob job,
      Route route,
      ItemStarter starter,
      ServerChoice choice,
      ExpectedEvents events,
      ItemPromptCosts promptCosts,
      Set<GroupId> needed,
      long nowNanos) {
    this.job = job;
    this.route = route;
    this.starter = starter;
    this.events = events;
    this.promptCosts = promptCosts;
    this.nowNanos = nowNanos;
    List<TrackedServer> servers = starter.servers(route);
    this.paces = ServerPaces.of(servers, choice, nowNanos);
    this.assignment = ItemAssignment.of(job, servers, paces::isSlow, needed, nowNanos);
  }

  @Override
  public boolean startNext() {
    List<TrackedServer> free = new ArrayList<>(starter.withFreeSlots(route, job));
    free.removeIf(server -> withoutItem.contains(server) || !starter.isPermitted(server));
    while (job.isRunnable() && !free.isEmpty()) {
      // The item is chosen for the server that is best for a typical one, and then placed.
      TrackedServer best = earliest(free, Optional.empty());
      Optional<ItemProgress> item = assignment.takeItemFor(best);
      if (item.isPresent()) {
        start(item.get(), best, free);
        return true;
      }
      withoutItem.add(best);
      free.remove(best);
    }
    return false;
  }

  private void start(ItemProgress item, TrackedServer chosen, List<TrackedServer> free) {
    List<TrackedServer> possible =
        free.stream()
            .filter(server -> paces.isSlow(server) == paces.isSlow(chosen))
            .filter(server -> assignment.canStart(item, server))
            .toList();
    TrackedServer server = possible.isEmpty() ? chosen : earliest(possible, Optional.of(item));
    starter.start(job, item, server, route);
  }

  /** Returns the server at which {@code item}, or a typical item, is expected to end first. */
  private TrackedServer earliest(List<TrackedServer> servers, Optional<ItemProgress> item) {
    TrackedServer best = servers.get(0);
    double bestNanos = Double.MAX_VALUE;
    for (TrackedServer server : servers) {
      double nanos = durationNanos(server, item);
      if (nanos < bestNanos) {
        best = server;
        bestNanos = nanos;
      }
    }
    return best;
  }

  private double durationNanos(TrackedServer server, Optional<ItemProgress> item) {
    double missing = item.map(each -> events.missing(each).orElse(1)).orElse(1.0);
    long prefill =
        item.map(each -> promptCosts.prefillTime(server, each.spec()))
            .orElse(Duration.ZERO)
            .toNanos();
    return prefill + paces.durationNanos(server, missing);
  }

  /** Asks for permits for the servers that could run the items that wait, or moves a run. */
  @Override
  public void finish() {
    List<TrackedServer> free = starter.withFreeSlots(route, job);
    free.stream()
        .filter(server -> !starter.isPermitted(server) && assignment.hasItemFor(server))
        .forEach(starter::requestPermit);
    List<TrackedServer> idle =
        free.stream()
            .filter(server -> withoutItem.contains(server) && starter.isPermitted(server))
            .toList();
    if (job.isRunnable() && !idle.isEmpty()) {
      moveRun(earliest(idle, Optional.empty()));
    }
  }

  /** Moves the run that gains most to {@code free}, a server for which no item waits. */
  private void moveRun(TrackedServer free) {
    ItemProgress best = null;
    Duration bestBenefit = Duration.ZERO;
    for (ItemProgress item : job.items()) {
      Duration benefit = benefit(item, free);
      if (benefit.compareTo(bestBenefit) > 0) {
        best = item;
        bestBenefit = benefit;
      }
    }
    if (best == null) {
      return;
    }
    ItemRunner runner = best.runner().orElseThrow();
    logger.atInfo().log(
        "event=item_moved job=%s item=%s from=%s last_event=%d to=%s benefit_ms=%d",
        job.id(),
        best.spec().id(),
        runner.server().id(),
        best.text().lastEvent(),
        free.id(),
        bestBenefit.toMillis());
    runner.cancelAndRetry();
  }

  private Duration benefit(ItemProgress item, TrackedServer free) {
    Optional<ItemRunner> runner = item.runner();
    if (runner.isEmpty()
        || runner.get().server() == free
        || !item.text().canContinueAt(free.registration().softwareVersion())
        || events.missing(item).isEmpty()) {
      return Duration.ZERO;
    }
    MoveDecision.Run run =
        new MoveDecision.Run(
            events.missing(item).getAsDouble(),
            paces.intervalNanos(runner.get().server()),
            runner.get().age(nowNanos),
            runner.get().silence(nowNanos));
    return MoveDecision.benefit(
        run, paces.intervalNanos(free), promptCosts.prefillTime(free, item.spec()));
  }
}
