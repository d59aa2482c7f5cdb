package org.amaranthstream.weights;

import java.time.Duration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Weight swap of one engine. It polls the report of the engine, sends the order, and polls again
 * until the engine has loaded the version or the timeout expires.
 *
 * <p>Used on one thread.
 */
final class WeightSwap {
  private static final Duration EXPECTED_LOAD_TIME = Duration.ofMillis(900);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration TIMEOUT = Duration.ofMillis(6_000);

  /** Callback for the end of a swap. */
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

  ModelId model() {
    return model;
  }

  void start() {
    poll();
  }

  private void poll() {
    if (!server.isAvailable() || fencingTokens.current().isEmpty()) {
      finish("server removed or leadership lost");
      return;
    }
    if (timers.nowNanos() - startNanos > TIMEOUT.toNanos()) {
      finish("timed out");
      return;
    }
    server.onControlSent();
    transport.report(server).thenAccept(this::onReport);
  }

  private void onReport(Result<ServerReport> result) {
    server.onControlEnded(result instanceof Result.Success);
    if (result instanceof Result.Failure<ServerReport> failure) {
      server.onFailed(timers.nowNanos(), failure.error().toString());
      finish("no report: " + failure.error());
      return;
    }
    ServerReport report = ((Result.Success<ServerReport>) result).value();
    report.versions().forEach(server::onVersion);
    boolean isLoaded = server.version(model).filter(held -> !version.isAfter(held)).isPresent();
    if (isLoaded && !report.isBusy()) {
      finish("loaded");
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
        finish("already loaded");
      }
      case CONFLICT, UNKNOWN, UNKNOWN_VERSION -> timers.after(POLL_INTERVAL, this::poll);
      default -> {
        // Records the failure, so that the engine is avoided for a while and not ordered again at
        // once.
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
