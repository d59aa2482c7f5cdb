package org.amaranthstream.standins.server;

import io.vertx.ext.web.Router;

/**
 * What one kind of stand-in does behind its HTTP server. Called on the server's event loop only.
 */
public interface Role {

  /** Returns the name of the kind, for logs and the ledger. */
  String name();

  /** Returns the switches that the control port sets. */
  FaultSwitches switches();

  /** Returns the ledger of what ran. */
  RunLedger ledger();

  /** Adds the routes of the protocol. */
  void addRoutes(Router router, StandinServer server);

  /** Acts on a change of the switches. */
  default void onSwitches() {}

  /** Loses the state that a process loses when it crashes; the ledger stays. */
  void reset();
}
