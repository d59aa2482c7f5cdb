package org.amaranthstream.standins.server;

import com.google.errorprone.annotations.CanIgnoreReturnValue;

/**
 * Base of the builders of all stand-ins. By default a stand-in listens on a free port of the
 * loopback address. Not thread safe.
 *
 * @param <B> the builder's own type
 */
public abstract class StandinBuilder<B extends StandinBuilder<B>> {
  private String host = "127.0.0.1";
  private int port;
  private CrashMode crashMode = CrashMode.CLOSE;

  /** Creates a builder. */
  protected StandinBuilder() {}

  /** Returns this builder as its own type. */
  protected abstract B self();

  /** Sets the address to listen on. */
  @CanIgnoreReturnValue
  public B host(String host) {
    this.host = host;
    return self();
  }

  /** Sets the port; 0 selects a free one. */
  @CanIgnoreReturnValue
  public B port(int port) {
    this.port = port;
    return self();
  }

  /** Sets the scope of a simulated crash. */
  @CanIgnoreReturnValue
  public B crashMode(CrashMode crashMode) {
    this.crashMode = crashMode;
    return self();
  }

  /** Starts a server for {@code role}. */
  protected StandinServer start(Role<?> role) {
    return StandinServer.start(role, host, port, crashMode);
  }
}
