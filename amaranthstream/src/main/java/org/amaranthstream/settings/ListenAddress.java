package org.amaranthstream.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An IP address and port on which a server listens.
 *
 * @param host the IP address
 * @param port the port; 0 lets the operating system choose a free one
 */
public record ListenAddress(String host, int port) {
  static final int MAX_PORT = 65_535;

  /**
   * Creates an address.
   *
   * @throws IllegalArgumentException if {@code port} is out of range
   */
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
