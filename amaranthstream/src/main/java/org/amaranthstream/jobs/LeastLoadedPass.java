package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.routing.Route;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.SlowServers;
import org.amaranthstream.servers.TrackedServer;

/** Pass that starts items at the least loaded servers, at slow ones only if there is no other. */
final class LeastLoadedPass implements JobPass {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final OwnedJob job;
  private final Route route;
  private final ItemStarter starter;
  private final ServerChoice choice;
  private final SlowServers slow;
  private final ItemAssignment assignment;
  private final List<TrackedServer> idle = new ArrayList<>();
  private final long nowNanos;

  LeastLoadedPass(
      OwnedJob job,
      Route route,
      ItemStarter starter,
      ServerChoice choice,
      Set<GroupId> needed,
      long nowNanos) {
    this.job = job;
    this.route = route;
    this.starter = starter;
    this.choice = choice;
    this.nowNanos = nowNanos;
    List<TrackedServer> servers = starter.servers(route);
    this.slow = SlowServers.among(servers, nowNanos);
    this.assignment = ItemAssignment.of(job, servers, slow::contains, needed, nowNanos);
  }

  @Override
  public boolean startNext() {
    while (job.isRunnable()) {
      Optional<TrackedServer> server = chooseServer();
      if (server.isEmpty()) {
        return false;
      }
      Optional<ItemProgress> item = assignment.takeItemFor(server.get());
      if (item.isPresent()) {
        starter.start(job, item.get(), server.get(), route);
        return true;
      }
      idle.add(server.get());
    }
    return false;
  }

  private Optional<TrackedServer> chooseServer() {
    List<TrackedServer> free =
        starter.withFreeSlots(route, job).stream()
            .filter(server -> !assignment.isIdle(server) && starter.isPermitted(server))
            .toList();
    Optional<TrackedServer> fast = choice.choose(free, server -> !slow.contains(server), nowNanos);
    return fast.isPresent() ? fast : choice.choose(free, server -> true, nowNanos);
  }

  /** Asks for permits for the servers that could run the items that wait. */
  @Override
  public void finish() {
    starter.withFreeSlots(route, job).stream()
        .filter(server -> !starter.isPermitted(server) && assignment.hasItemFor(server))
        .forEach(starter::requestPermit);
    idle.forEach(this::moveItemFromSlowServer);
  }

  /**
   * Cancels one run at a slow server, because no item waits and {@code free} has a free slot and
   * can continue the item's text. The item resumes when the job is scheduled next.
   */
  private void moveItemFromSlowServer(TrackedServer free) {
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
}
