package org.amaranthstream.standins.server;

import com.google.errorprone.annotations.CanIgnoreReturnValue;

/**
 * What the builders of all stand-ins set; a free port on the loopback address by default.
 *
 * @param <B> the builder's own type
 */
public abstract class StandinBuilder<B extends StandinBuilder<B>> {
  private String host = "127.0.0.1";
  private int port;
  private CrashMode crashMode = CrashMode.CLOSE;

  /** Creates a builder. */
  protected StandinBuilder() {}

  /** Returns this builder under its own type. */
  protected abstract B self();

  /** Sets the address to listen at. */
  @CanIgnoreReturnValue
  public B host(String host) {
    this.host = host;
    return self();
  }

  /** Sets the port; 0 takes a free one. */
  @CanIgnoreReturnValue
  public B port(int port) {
    this.port = port;
    return self();
  }

  /** Sets what a crash ends. */
  @CanIgnoreReturnValue
  public B crashMode(CrashMode crashMode) {
    this.crashMode = crashMode;
    return self();
  }

  /** Starts a server with {@code role}. */
  protected StandinServer start(Role<?> role) {
    return StandinServer.start(role, host, port, crashMode);
  }
}
