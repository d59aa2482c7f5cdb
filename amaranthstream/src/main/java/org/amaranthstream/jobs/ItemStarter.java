package org.amaranthstream.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.prompts.PromptRun;
import org.amaranthstream.routing.Route;
import org.amaranthstream.servers.RequestPermits;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.slots.SlotLeases;
import org.amaranthstream.time.TimerService;

/** Start of runs of items at servers with free slots. Must be used on one thread. */
final class ItemStarter {
  private final ServerDirectory directory;
  private final ItemTransport transport;
  private final ItemPermits permits;
  private final Supplier<ItemSchedulingOptions> options;
  private final TimerService timers;
  private final ItemRunner.Observer observer;

  /**
   * Creates a starter.
   *
   * @param options supplies the parts of the scheduling that are in use
   * @param onPermitted called when a run may start that could not start before
   */
  ItemStarter(
      ServerDirectory directory,
      ItemTransport transport,
      RequestPermits permits,
      Supplier<ItemSchedulingOptions> options,
      TimerService timers,
      ItemRunner.Observer observer,
      Runnable onPermitted) {
    this.directory = directory;
    this.transport = transport;
    this.permits = new ItemPermits(permits, timers, onPermitted);
    this.options = options;
    this.timers = timers;
    this.observer = observer;
  }

  /** Returns the available servers of the services of {@code route}. */
  List<TrackedServer> servers(Route route) {
    List<TrackedServer> servers = new ArrayList<>();
    route.services().stream()
        .filter(service -> service.weight() > 0)
        .forEach(service -> servers.addAll(directory.available(service.service())));
    return servers;
  }

  /** Returns the servers of {@code route} that have a free slot for items of {@code job}. */
  List<TrackedServer> withFreeSlots(Route route, OwnedJob job) {
    long now = timers.nowNanos();
    return servers(route).stream()
        .filter(server -> server.inFlight() < server.registration().slots())
        .filter(server -> !server.isAvoided(now))
        .filter(server -> hasAllowedVersion(server, job))
        .filter(options.get().slots()::mayStart)
        .toList();
  }

  /** Returns why items of {@code job} wait, for the log. */
  String waitReason(Route route, OwnedJob job) {
    List<TrackedServer> servers = servers(route);
    if (servers.isEmpty()) {
      return "no_server";
    }
    if (servers.stream().noneMatch(server -> hasAllowedVersion(server, job))) {
      return "no_server_with_version";
    }
    if (withFreeSlots(route, job).isEmpty()) {
      SlotLeases slots = options.get().slots();
      boolean isAnyLeased =
          servers.stream().anyMatch(server -> server.inFlight() > 0 || slots.mayStart(server));
      return isAnyLeased ? "slots_in_use" : "no_slots_leased";
    }
    return "starting";
  }

  /** Also allows a server that reports no version, as each event is checked when it arrives. */
  private static boolean hasAllowedVersion(TrackedServer server, OwnedJob job) {
    Optional<WeightVersion> version = server.version(job.spec().model());
    return version.isEmpty() || !job.spec().minVersion().isAfter(version.get());
  }

  /** Returns true if the server's limit allows a run now. */
  boolean isPermitted(TrackedServer server) {
    return permits.mayStart(server);
  }

  /** Asks for a permit for a run at {@code server}. */
  void requestPermit(TrackedServer server) {
    permits.request(server);
  }

  void start(OwnedJob job, ItemProgress item, TrackedServer server, Route route) {
    permits.onStarted(server);
    ItemRules rules = new ItemRules(route.maxAttempts(), route.isSingleVersion());
    PromptRun promptRun = options.get().promptCosts().begin(server, item.spec());
    new ItemRunner(job, item, server, rules, promptRun, directory, timers, observer)
        .start(transport);
  }
}
