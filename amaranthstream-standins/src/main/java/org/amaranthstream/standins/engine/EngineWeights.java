package org.amaranthstream.standins.engine;

import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.RunLedger;
import org.amaranthstream.standins.server.StandinServer;

/** The loaded weights and the orders that change them. Confined to the event loop. */
final class EngineWeights {
  private static final String LOAD_VERSION = "LOAD_VERSION";

  private final EngineOptions<?> options;
  private final EngineSwitches switches;
  private final RunLedger ledger;
  private long version;
  private long highestFencing;
  private int swaps;
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

  boolean isSwapping() {
    return swaps > 0;
  }

  /** Loses the loaded version, the highest fencing number and the swaps under way. */
  void reset() {
    version = options.version;
    highestFencing = 0;
    swaps = 0;
    generation++;
  }

  void order(RoutingContext ctx, StandinServer server) {
    Order order;
    try {
      order = Json.read(ctx.body().buffer(), Order.class);
    } catch (IOException e) {
      server.send(ctx, 400, new OrderRefusal("order is not valid", highestFencing));
      return;
    }
    if (!LOAD_VERSION.equals(order.type())) {
      server.send(ctx, 400, new OrderRefusal("order type is unknown", highestFencing));
    } else if (options.checksFencing && order.fencing() < highestFencing) {
      ledger.count("orders_refused", 1);
      server.send(ctx, 409, new OrderRefusal("fencing number is old", highestFencing));
    } else {
      highestFencing = Math.max(highestFencing, order.fencing());
      swap(ctx, server, order);
    }
  }

  private void swap(RoutingContext ctx, StandinServer server, Order order) {
    swaps++;
    int mine = generation;
    server.vertx().setTimer(Math.max(1, options.swapMs), id -> finish(ctx, server, order, mine));
  }

  private void finish(RoutingContext ctx, StandinServer server, Order order, int ofGeneration) {
    if (ofGeneration != generation) {
      return;
    }
    swaps--;
    if (switches.failSwaps > 0) {
      switches.failSwaps--;
      ledger.count("swaps_failed", 1);
      server.send(ctx, 500, new OrderRefusal("swap failed", highestFencing));
      return;
    }
    ledger.count(order.version() < version ? "orders_that_lowered" : "orders_applied", 1);
    version = order.version();
    server.send(ctx, 200, new Loaded(version));
  }

  record OrderRefusal(String reason, long fencing) {}

  record Loaded(long version) {}
}
