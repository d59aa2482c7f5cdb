package org.amaranthstream.servers;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.time.TimerService;

/**
 * Detector of the loss of all servers of one service, as this process sees it.
 *
 * <p>Made for a partition between this VM and all servers, during which connections hang, are
 * refused, or are open but silent; open ones may also work while new ones are refused. When no
 * server has responded to any request for a while, or requests have failed, new connections to a
 * few servers are opened. If none opens, the service counts as lost until one does. A single slow
 * or crashed server is therefore no reason. Only the view of a peer shows whether the servers are
 * down for all daemons. Must be used on the thread of its timers.
 */
public final class ServiceReach {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration MAX_SILENCE = Duration.ofMillis(400);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);
  private static final Duration MIN_PROBE_DELAY = Duration.ofMillis(300);
  private static final Duration MAX_PROBE_DELAY = Duration.ofMillis(1_200);
  private static final int PROBED_SERVERS = 2;

  private final ServiceId service;
  private final Supplier<? extends Collection<TrackedServer>> servers;
  private final ServerProbe probe;
  private final TimerService timers;
  private final Runnable onChange;
  private final SilenceClock clock = new SilenceClock();
  private boolean isCheckPlanned;
  private boolean isProbing;
  private boolean isLost;
  private Duration probeDelay = MIN_PROBE_DELAY;
  private int nextProbed;

  ServiceReach(
      ServiceId service,
      Supplier<? extends Collection<TrackedServer>> servers,
      ServerProbe probe,
      TimerService timers,
      Runnable onChange) {
    this.service = service;
    this.servers = servers;
    this.probe = probe;
    this.timers = timers;
    this.onChange = onChange;
  }

  /**
   * Verifies that this process reaches a server: one has responded just now, or a new connection
   * opens.
   *
   * @return a future that never completes exceptionally
   */
  public CompletableFuture<Boolean> verify() {
    if (isLost || clock.hasRespondedWithin(MAX_SILENCE, timers.nowNanos())) {
      return CompletableFuture.completedFuture(!isLost);
    }
    return probeSome(List.copyOf(servers.get()));
  }

  /** Probes a few servers, other ones each time. */
  private CompletableFuture<Boolean> probeSome(List<TrackedServer> all) {
    CompletableFuture<Boolean> anyResponds = CompletableFuture.completedFuture(false);
    for (int i = 0; i < Math.min(PROBED_SERVERS, all.size()); i++) {
      TrackedServer server = all.get(nextProbed % all.size());
      nextProbed++;
      anyResponds =
          anyResponds.thenCombine(
              probe.connects(server, PROBE_TIMEOUT).thenApply(this::onProbed), Boolean::logicalOr);
    }
    return anyResponds;
  }

  /** Returns true if this process reaches none of the servers. */
  public boolean isLost() {
    return isLost;
  }

  void onRequestSent() {
    clock.onRequestSent(timers.nowNanos());
    planCheck(MAX_SILENCE);
  }

  void onRequestEnded() {
    clock.onRequestEnded();
  }

  void onResponse() {
    clock.onResponse(timers.nowNanos());
  }

  /** Records that a request has failed, or that no connection could be opened for it. */
  void onFailed() {
    clock.onFailed(timers.nowNanos());
    planCheck(MAX_SILENCE);
  }

  private void onConnected() {
    clock.onConnected(timers.nowNanos());
    if (isLost) {
      isLost = false;
      probeDelay = MIN_PROBE_DELAY;
      logger.atInfo().log("event=service_reached service=%s", service);
      onChange.run();
    }
  }

  private void planCheck(Duration delay) {
    if (!isCheckPlanned) {
      isCheckPlanned = true;
      timers.after(delay, this::check);
    }
  }

  private void check() {
    isCheckPlanned = false;
    Duration suspicion = clock.suspicion(timers.nowNanos());
    if (suspicion.compareTo(MAX_SILENCE) >= 0 || isLost) {
      probeServers();
    } else if (!suspicion.isZero()) {
      planCheck(MAX_SILENCE.minus(suspicion));
    }
  }

  private void probeServers() {
    if (isProbing) {
      return;
    }
    isProbing = true;
    List<TrackedServer> all = List.copyOf(servers.get());
    probeSome(all).thenAccept(unused -> onAllProbed(all.size()));
  }

  private boolean onProbed(boolean isConnected) {
    if (isConnected) {
      onConnected();
    }
    return isConnected;
  }

  private void onAllProbed(int available) {
    isProbing = false;
    Duration suspicion = clock.suspicion(timers.nowNanos());
    boolean isConfirmed = suspicion.compareTo(MAX_SILENCE) >= 0;
    if (isConfirmed && !isLost && available > 0) {
      isLost = true;
      logger.atWarning().log(
          "event=service_lost service=%s for_ms=%d servers=%d",
          service, suspicion.toMillis(), available);
      onChange.run();
    }
    if (isLost) {
      planCheck(probeDelay);
      Duration doubled = probeDelay.multipliedBy(2);
      probeDelay = doubled.compareTo(MAX_PROBE_DELAY) < 0 ? doubled : MAX_PROBE_DELAY;
    } else if (!suspicion.isZero()) {
      planCheck(MAX_SILENCE);
    }
  }
}
