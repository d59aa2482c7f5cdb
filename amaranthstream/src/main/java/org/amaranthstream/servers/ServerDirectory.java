package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Directory of the registered backend servers.
 *
 * <p>A server whose registration is removed from the store is removed at once, unless the
 * registration may have expired in an outage although the server is still running. In that case the
 * server stays in use until it has had time to register again. Must be used on the thread of its
 * timers.
 */
public final class ServerDirectory {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TimerService timers;
  private final Supplier<Duration> timeToReturn;
  private final Map<BackendServerId, TrackedServer> servers = new LinkedHashMap<>();
  private final Map<BackendServerId, Subscription> removalTimers = new LinkedHashMap<>();
  private final LeavingIncarnations leaving = new LeavingIncarnations();
  private final SoftwareHistory software;
  private final ServerChangeLog changeLog = new ServerChangeLog();
  private Revision revision = Revision.of(0);
  private boolean isBatchOpen;
  private boolean isBatchChanged;
  private Optional<ReachMonitor> reachMonitor = Optional.empty();
  private final List<ServerListener> listeners = new ArrayList<>();
  private final List<LeavingListener> leavingListeners = new ArrayList<>();

  private ServerDirectory(TimerService timers, Supplier<Duration> timeToReturn) {
    this.timers = timers;
    this.timeToReturn = timeToReturn;
    this.software = new SoftwareHistory(timers.nowNanos());
  }

  /** Returns an empty directory that removes servers at once. */
  public static ServerDirectory create(TimerService timers) {
    return create(timers, () -> Duration.ZERO);
  }

  /**
   * Returns an empty directory.
   *
   * @param timeToReturn supplies for how long a server stays in use whose registration was removed
   *     just now; see {@link RegistrationExpiry}
   */
  public static ServerDirectory create(TimerService timers, Supplier<Duration> timeToReturn) {
    return new ServerDirectory(
        checkNotNull(timers, "timers"), checkNotNull(timeToReturn, "timeToReturn"));
  }

  /** Sets the monitor that is notified of the requests to servers that register from now on. */
  void setReachMonitor(ReachMonitor monitor) {
    reachMonitor = Optional.of(monitor);
  }

  private Optional<ServiceReach> reachOf(ServiceId service) {
    return reachMonitor.map(monitor -> monitor.of(service));
  }

  /** Adds a listener that is called on each change. */
  public void addListener(ServerListener listener) {
    listeners.add(checkNotNull(listener, "listener"));
  }

  /** Adds a listener that is called for each server that announces in a response that it leaves. */
  public void addLeavingListener(LeavingListener listener) {
    leavingListeners.add(checkNotNull(listener, "listener"));
  }

  /**
   * Handles a response in which a server announces that it is leaving. Its incarnation gets no new
   * requests from then on, whatever its registration says.
   */
  public void onLeavingAnnounced(TrackedServer server) {
    server.markDraining();
    long started = server.registration().startMillis();
    if (leaving.add(server.id(), started)) {
      logger.atInfo().log("event=server_leaving server=%s source=response", server.id());
      leavingListeners.forEach(listener -> listener.onServerLeaving(server));
      notifyListeners();
    }
  }

  /**
   * Handles a peer's report that the incarnation which started at {@code startMillis} is leaving.
   */
  public void onLeavingReported(BackendServerId id, long startMillis) {
    if (!leaving.add(id, startMillis)) {
      return;
    }
    logger.atInfo().log("event=server_leaving server=%s source=peer", id);
    TrackedServer server = servers.get(id);
    if (server != null && server.registration().startMillis() == startMillis) {
      server.markDraining();
      notifyListeners();
    }
  }

  /**
   * Defers the notification of the listeners and the log lines until {@link #endBatch}.
   *
   * @param upTo the revision of the store up to which the batch contains all changes; the log lines
   *     of a change name it, so that the times of several daemons can be compared
   */
  public void startBatch(Revision upTo) {
    revision = upTo;
    isBatchOpen = true;
  }

  /** Ends a batch, and notifies the listeners once if it contained changes. */
  public void endBatch() {
    isBatchOpen = false;
    if (isBatchChanged) {
      onChanged();
    }
  }

  private void onChanged() {
    isBatchChanged = isBatchOpen;
    if (!isBatchOpen) {
      changeLog.flush(servers.size(), revision);
      notifyListeners();
    }
  }

  /** Applies a registration that was read from the store. */
  public void onRegistration(ServerRegistration registration) {
    Subscription removalTimer = removalTimers.remove(registration.id());
    if (removalTimer != null) {
      removalTimer.cancel();
    }
    software.onSeen(registration, timers.nowNanos());
    if (registration.isDraining()) {
      leaving.add(registration.id(), registration.startMillis());
    }
    TrackedServer known = servers.get(registration.id());
    if (known != null && known.registration().isSameIncarnation(registration)) {
      boolean wasAvailable = known.isAvailable();
      known.update(registration);
      if (wasAvailable && !known.isAvailable()) {
        logger.atInfo().log(
            "event=server_draining server=%s revision=%s", registration.id(), revision);
      }
    } else {
      if (known != null) {
        known.markRemoved();
        software.onSeen(known.registration(), timers.nowNanos());
      }
      TrackedServer added = new TrackedServer(registration, reachOf(registration.service()));
      if (leaving.contains(registration)) {
        added.markDraining();
      }
      servers.put(registration.id(), added);
      changeLog.addKnown(registration);
    }
    onChanged();
  }

  /** Handles a registration that was removed from the store or is unreadable. */
  public void onRegistrationRemoved(BackendServerId id) {
    if (!servers.containsKey(id) || removalTimers.containsKey(id)) {
      return;
    }
    Duration time = timeToReturn.get();
    if (time.isZero()) {
      remove(id);
      return;
    }
    logger.atInfo().log(
        "event=server_lapsed server=%s revision=%s for_ms=%d", id, revision, time.toMillis());
    removalTimers.put(id, timers.after(time, () -> remove(id)));
  }

  private void remove(BackendServerId id) {
    removalTimers.remove(id);
    TrackedServer removed = servers.remove(id);
    if (removed != null) {
      removed.markRemoved();
      software.onSeen(removed.registration(), timers.nowNanos());
      changeLog.addGone(removed.registration());
      onChanged();
    }
  }

  /** Removes an incarnation, because another one responded at its address. */
  public void onIncarnationReplaced(TrackedServer server) {
    server.onProgress();
    if (servers.get(server.id()) == server) {
      remove(server.id());
    }
    server.markRemoved();
  }

  /** Returns the servers of a service that accept new requests. */
  public ImmutableList<TrackedServer> available(ServiceId service) {
    ImmutableList.Builder<TrackedServer> available = ImmutableList.builder();
    for (TrackedServer server : servers.values()) {
      if (server.isAvailable() && server.registration().service().equals(service)) {
        available.add(server);
      }
    }
    return available.build();
  }

  /**
   * Returns the only software version that the servers of a service have had for at least {@code
   * period}, empty if there were several or this directory has not existed for so long.
   */
  public Optional<SoftwareVersion> onlySoftware(ServiceId service, Duration period) {
    long now = timers.nowNanos();
    servers.values().forEach(server -> software.onSeen(server.registration(), now));
    return software.onlyVersion(service, period, now);
  }

  /** Returns all registered servers. */
  public ImmutableList<TrackedServer> all() {
    return ImmutableList.copyOf(servers.values());
  }

  /** Notifies the listeners that a server or the observed state of a server has changed. */
  public void notifyListeners() {
    listeners.forEach(ServerListener::onServersChanged);
  }
}
