package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An address that the process listens on.
 *
 * @param host the IP number
 * @param port the port; 0 lets the system choose one
 */
public record ListenAddress(String host, int port) {
  static final int MAX_PORT = 65_535;

  /** Creates an address. */
  public ListenAddress {
    checkNotNull(host, "host");
    checkArgument(port >= 0 && port <= MAX_PORT, "port out of range: %s", port);
  }

  /** Returns the address of {@code host} and {@code port}. */
  public static ListenAddress of(String host, int port) {
    return new ListenAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
