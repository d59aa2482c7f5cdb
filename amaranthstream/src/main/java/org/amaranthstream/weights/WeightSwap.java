package org.amaranthstream.weights;

import java.time.Duration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * One engine on its way to a weight version: asked for its state, ordered, and asked again until it
 * holds the version or the swap has taken too long.
 *
 * <p>Used on one thread.
 */
final class WeightSwap {
  private static final Duration EXPECTED_LOAD_TIME = Duration.ofMillis(900);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration TIMEOUT = Duration.ofMillis(6_000);

  /** What follows the end of a swap. */
  @FunctionalInterface
  interface Observer {
    void onDone(WeightSwap swap, String outcome);
  }

  private final TrackedServer server;
  private final ModelId model;
  private final WeightVersion version;
  private final EntryVmId self;
  private final SwapTransport transport;
  private final TimerService timers;
  private final FencingTokenSource fencingTokens;
  private final Observer observer;
  private final long startNanos;
  private boolean isFinished;

  WeightSwap(
      TrackedServer server,
      ModelId model,
      WeightVersion version,
      EntryVmId self,
      SwapTransport transport,
      TimerService timers,
      FencingTokenSource fencingTokens,
      Observer observer) {
    this.server = server;
    this.model = model;
    this.version = version;
    this.self = self;
    this.transport = transport;
    this.timers = timers;
    this.fencingTokens = fencingTokens;
    this.observer = observer;
    this.startNanos = timers.nowNanos();
  }

  TrackedServer server() {
    return server;
  }

  void start() {
    poll();
  }

  private void poll() {
    if (!server.isAvailable() || fencingTokens.current().isEmpty()) {
      finish("not to be ordered any more");
      return;
    }
    if (timers.nowNanos() - startNanos > TIMEOUT.toNanos()) {
      finish("took too long");
      return;
    }
    transport.report(server).thenAccept(this::onReport);
  }

  private void onReport(Result<ServerReport> result) {
    if (result instanceof Result.Failure<ServerReport> failure) {
      server.onFailed(timers.nowNanos(), failure.error().toString());
      finish("no report: " + failure.error());
      return;
    }
    ServerReport report = ((Result.Success<ServerReport>) result).value();
    report.versions().forEach(server::onVersion);
    boolean isLoaded = server.version(model).filter(held -> !version.isAfter(held)).isPresent();
    if (isLoaded && !report.isBusy()) {
      finish("reached");
    } else if (report.isBusy()) {
      timers.after(POLL_INTERVAL, this::poll);
    } else {
      order(report.orders());
    }
  }

  private void order(long orders) {
    SwapRequest request = new SwapRequest(model, version, orders, self);
    transport.order(server, request, fencingTokens).thenAccept(this::onReply);
  }

  private void onReply(SwapReply reply) {
    switch (reply) {
      case STARTED -> timers.after(EXPECTED_LOAD_TIME, this::poll);
      case HELD_ALREADY -> {
        server.onVersion(model, version);
        finish("held already");
      }
      case CONFLICT, UNKNOWN, UNKNOWN_VERSION -> timers.after(POLL_INTERVAL, this::poll);
      default -> {
        // Without a pause the same order would be tried again at once.
        server.onFailed(timers.nowNanos(), "order: " + reply);
        finish(reply.toString());
      }
    }
  }

  private void finish(String outcome) {
    if (!isFinished) {
      isFinished = true;
      observer.onDone(this, outcome);
    }
  }
}
