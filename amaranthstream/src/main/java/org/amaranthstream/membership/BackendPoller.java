package org.amaranthstream.membership;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Poller of the load of the backend servers that the membership table assigns to the local daemon.
 * It passes the reports to the table and has at most one poll of each server in flight.
 *
 * <p>Not thread safe; started and stopped on the decision thread, on which its timer runs too.
 */
public final class BackendPoller {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;
  private static final int MAX_OPEN_PERIODS = 10;

  private final MembershipTable table;
  private final LoadSource source;
  private final TimerService timers;
  private final Duty decisions;
  private final Duration period;
  private final Map<BackendServerId, Long> openSinceNanos = new HashMap<>();

  private BackendPoller(
      MembershipTable table,
      LoadSource source,
      TimerService timers,
      Duty decisions,
      Duration period) {
    this.table = table;
    this.source = source;
    this.timers = timers;
    this.decisions = decisions;
    this.period = period;
  }

  /**
   * Returns a poller that is idle until {@link #start}.
   *
   * @param timers timers whose tasks run on the decision thread
   * @param period time between polls of a server
   */
  public static BackendPoller create(
      MembershipTable table,
      LoadSource source,
      TimerService timers,
      Duty decisions,
      Duration period) {
    return new BackendPoller(table, source, timers, decisions, period);
  }

  /** Starts polling; cancel the subscription to stop. */
  @CanIgnoreReturnValue
  public Subscription start() {
    return timers.every(period, this::pollAll);
  }

  private void pollAll() {
    for (BackendServer server : table.serversToPoll()) {
      if (!isOpen(server.id())) {
        openSinceNanos.put(server.id(), timers.nowNanos());
        poll(server);
      }
    }
  }

  /**
   * Returns true if a poll of {@code server} is in flight. One older than {@link #MAX_OPEN_PERIODS}
   * periods does not count: its response was dropped.
   */
  private boolean isOpen(BackendServerId server) {
    Long since = openSinceNanos.get(server);
    return since != null
        && timers.nowNanos() - since < period.multipliedBy(MAX_OPEN_PERIODS).toNanos();
  }

  private void poll(BackendServer server) {
    source
        .poll(server)
        .thenAccept(
            result -> {
              if (!decisions.offer(() -> onResult(server, result))) {
                logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "event=load_report_dropped server=%s reason=ring_full", server.id());
              }
            });
  }

  private void onResult(BackendServer server, Result<LoadReport> result) {
    openSinceNanos.remove(server.id());
    if (result instanceof Result.Success<LoadReport> success) {
      table.onPolled(server.id(), success.value(), timers.nowNanos());
    } else if (result instanceof Result.Failure<LoadReport> failure) {
      logger.atFine().log("event=load_poll_failed server=%s %s", server.id(), failure.error());
    }
  }
}
