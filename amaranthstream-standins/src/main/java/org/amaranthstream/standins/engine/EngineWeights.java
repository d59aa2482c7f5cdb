package org.amaranthstream.standins.engine;

import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.RunLedger;
import org.amaranthstream.standins.server.StandinServer;

/** Loaded weight version and the orders that change it. Confined to the server's event loop. */
final class EngineWeights {
  private static final String LOAD_VERSION = "LOAD_VERSION";

  private final EngineOptions<?> options;
  private final EngineSwitches switches;
  private final RunLedger ledger;
  private long version;
  private long highestFencing;
  private int activeSwaps;

  /** Number of resets. A swap that began before the last reset does not finish. */
  private int generation;

  EngineWeights(EngineOptions<?> options, EngineSwitches switches, RunLedger ledger) {
    this.options = options;
    this.switches = switches;
    this.ledger = ledger;
    this.version = options.version;
  }

  long version() {
    return version;
  }

  /** Returns true while at least one weight swap is in progress; decoding pauses meanwhile. */
  boolean isSwapping() {
    return activeSwaps > 0;
  }

  /**
   * Restores the initial version and discards the highest fencing token and active swaps, as a
   * crash does.
   */
  void reset() {
    version = options.version;
    highestFencing = 0;
    activeSwaps = 0;
    generation++;
  }

  /** Handles an order: rejects it, or starts a weight swap whose end sends the response. */
  void handleOrder(RoutingContext ctx, StandinServer server) {
    Order order;
    try {
      order = Json.read(ctx.body().buffer(), Order.class);
    } catch (IOException e) {
      server.send(ctx, 400, new OrderRejection("order is not valid JSON", highestFencing));
      return;
    }
    if (!LOAD_VERSION.equals(order.type())) {
      server.send(ctx, 400, new OrderRejection("order type is not LOAD_VERSION", highestFencing));
    } else if (options.checksFencing && order.fencing() < highestFencing) {
      ledger.count("orders_refused", 1);
      server.send(
          ctx, 409, new OrderRejection("fencing token is below the highest seen", highestFencing));
    } else {
      highestFencing = Math.max(highestFencing, order.fencing());
      startSwap(ctx, server, order);
    }
  }

  private void startSwap(RoutingContext ctx, StandinServer server, Order order) {
    activeSwaps++;
    int startedIn = generation;
    server
        .vertx()
        .setTimer(Math.max(1, options.swapMs), id -> finishSwap(ctx, server, order, startedIn));
  }

  private void finishSwap(RoutingContext ctx, StandinServer server, Order order, int startedIn) {
    if (startedIn != generation) {
      return;
    }
    activeSwaps--;
    if (switches.failSwaps > 0) {
      switches.failSwaps--;
      ledger.count("swaps_failed", 1);
      server.send(
          ctx, 500, new OrderRejection("injected failure of the weight swap", highestFencing));
      return;
    }
    ledger.count(order.version() < version ? "orders_that_lowered" : "orders_applied", 1);
    version = order.version();
    server.send(ctx, 200, new OrderResponse(version));
  }

  record OrderRejection(String reason, long fencing) {}

  record OrderResponse(long version) {}
}
