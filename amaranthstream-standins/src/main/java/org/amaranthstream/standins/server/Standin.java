package org.amaranthstream.standins.server;

/** Handle of a running stand-in. Thread safe. */
public class Standin implements AutoCloseable {
  private final StandinServer server;

  /** Creates a handle of the stand-in that {@code server} serves. */
  public Standin(StandinServer server) {
    this.server = server;
  }

  /** Returns the server. */
  public final StandinServer server() {
    return server;
  }

  /** Returns the port that the stand-in listens on. */
  public final int port() {
    return server.port();
  }

  /** Returns the base URL, without a trailing slash. */
  public final String url() {
    return server.url();
  }

  /**
   * Sets fault switches by their field names, as a request to {@code /v1/control} does.
   *
   * @throws IllegalStateException if a switch is unknown or its value has the wrong type
   */
  public final void control(String json) {
    server.control(json);
  }

  /** Returns the ledger as JSON. */
  public final String ledgerText() {
    return server.ledgerText();
  }

  @Override
  public final void close() {
    server.close();
  }
}
