package org.amaranthstream.standins.server;

/** A stand-in that runs. Thread safe. */
public class Standin implements AutoCloseable {
  private final StandinServer server;

  /** Wraps the server of a stand-in. */
  public Standin(StandinServer server) {
    this.server = server;
  }

  /** Returns the server. */
  public final StandinServer server() {
    return server;
  }

  /** Returns the port that it listens at. */
  public final int port() {
    return server.port();
  }

  /** Returns the base of its URLs. */
  public final String url() {
    return server.url();
  }

  /** Sets switches by their names, as the control port does. */
  public final void control(String json) {
    server.control(json);
  }

  /** Returns the JSON of the ledger. */
  public final String ledgerText() {
    return server.ledgerText();
  }

  @Override
  public final void close() {
    server.close();
  }
}
