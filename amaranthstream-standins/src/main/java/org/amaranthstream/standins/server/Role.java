package org.amaranthstream.standins.server;

import io.vertx.ext.web.Router;

/**
 * What one kind of stand-in does behind its HTTP server. Called on the server's event loop only.
 *
 * @param <S> the type of its switches
 */
public abstract class Role<S extends FaultSwitches> {
  private final String name;
  private final S switches;
  private final RunLedger ledger = new RunLedger();
  private StandinServer server;

  /**
   * Creates a role.
   *
   * @param name the name of the kind, for logs and the ledger
   * @param switches the switches that the control port sets
   */
  protected Role(String name, S switches) {
    this.name = name;
    this.switches = switches;
  }

  /** Adds the routes of the protocol. */
  protected abstract void addRoutes(Router router);

  /** Loses the state that a process loses when it crashes; the ledger stays. */
  protected abstract void reset();

  /** Acts on a change of the switches. */
  protected void onSwitches() {}

  /** Returns the switches. */
  protected final S switches() {
    return switches;
  }

  /** Returns the ledger of what ran. */
  protected final RunLedger ledger() {
    return ledger;
  }

  /** Returns the server that it stands behind. */
  protected final StandinServer server() {
    return server;
  }

  final String name() {
    return name;
  }

  final void attach(StandinServer standin, Router router) {
    server = standin;
    addRoutes(router);
  }
}
