package org.amaranthstream.standins.server;

import io.vertx.ext.web.Router;

/**
 * Protocol and state of one kind of stand-in, served by a {@link StandinServer}.
 *
 * <p>All methods are called on the server's event loop.
 *
 * @param <S> the type of the fault switches
 */
public abstract class Role<S extends FaultSwitches> {
  private final String name;
  private final S switches;
  private final RunLedger ledger = new RunLedger();
  private StandinServer server;

  /**
   * Creates a role.
   *
   * @param name the name of the role, for logs and the ledger
   * @param switches the fault switches that control requests set
   */
  protected Role(String name, S switches) {
    this.name = name;
    this.switches = switches;
  }

  /** Adds the routes of the role's protocol. */
  protected abstract void addRoutes(Router router);

  /** Discards the state that does not survive a crash. The ledger is kept. */
  protected abstract void reset();

  /** Applies changed switches. Does nothing by default. */
  protected void onSwitchesChanged() {}

  /** Returns the fault switches. */
  protected final S switches() {
    return switches;
  }

  /** Returns the ledger of runs. */
  protected final RunLedger ledger() {
    return ledger;
  }

  /** Returns the server that serves this role. */
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
