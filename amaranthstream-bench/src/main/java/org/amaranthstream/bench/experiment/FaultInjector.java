package org.amaranthstream.bench.experiment;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.standins.link.LinkState;

/** Injector of the fault of a run. Clears the fault after two thirds of the run. */
final class FaultInjector implements AutoCloseable {
  /** Text in a prompt that crashes the engine that runs the prompt. */
  static final String POISON_MARKER = "POISON";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int RUN_PARTS = 3;
  private static final int RESTART_AFTER_MS = 3_000;

  private final Cluster cluster;
  private final Fault fault;
  private final PoisonCaller poisonCaller;
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

  FaultInjector(Cluster cluster, Fault fault) {
    this.cluster = cluster;
    this.fault = fault;
    this.poisonCaller = new PoisonCaller(cluster.daemonUrls());
  }

  /**
   * Schedules the start and the end of the fault.
   *
   * @param durationMs length of the run, in ms
   */
  void schedule(long durationMs) throws IOException {
    for (BackendProcess engine : cluster.engines()) {
      cluster.control(
          engine.url(),
          "{\"restartAfterMs\": %d, \"poisonMarker\": \"%s\"}"
              .formatted(RESTART_AFTER_MS, POISON_MARKER));
    }
    executor.schedule(this::inject, durationMs / RUN_PARTS, TimeUnit.MILLISECONDS);
    executor.schedule(this::clear, 2 * durationMs / RUN_PARTS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    executor.shutdownNow();
    poisonCaller.close();
  }

  private void inject() {
    logger.atInfo().log("event=fault_begins fault=%s", fault.label());
    try {
      switch (fault) {
        case ENGINE_CRASH -> cluster.control(firstEngine(), "{\"crash\": true}");
        case POISON -> executor.scheduleAtFixedRate(poisonCaller::send, 0, 1, TimeUnit.SECONDS);
        case FROZEN_CONNECTION -> cluster.control(firstEngine(), "{\"freeze\": true}");
        case ZONE_CUT -> cluster.links().setState(isolatedZone(), LinkState.SILENT);
        case KV_OUTAGE -> cluster.control(cluster.kvUrl(), "{\"outage\": true}");
        case SWAP_FAILURE -> failSwaps();
        default -> {}
      }
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("event=fault_failed fault=%s", fault.label());
    }
  }

  private void clear() {
    try {
      switch (fault) {
        case ZONE_CUT -> cluster.links().setState(isolatedZone(), LinkState.UP);
        case KV_OUTAGE -> cluster.control(cluster.kvUrl(), "{\"outage\": false}");
        default -> {}
      }
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("event=fault_end_failed fault=%s", fault.label());
    }
  }

  private void failSwaps() throws IOException {
    for (BackendProcess engine : cluster.engines()) {
      cluster.control(engine.url(), "{\"failSwaps\": 1}");
    }
  }

  private String firstEngine() {
    return cluster.engines().get(0).url();
  }

  private ZoneSpec isolatedZone() {
    return cluster.engines().get(cluster.engines().size() - 1).zone();
  }
}
