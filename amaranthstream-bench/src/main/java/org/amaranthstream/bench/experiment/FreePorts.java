package org.amaranthstream.bench.experiment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finder of loopback ports on which no server listens.
 *
 * <p>The ports are below the range of ephemeral ports, so that no outgoing connection takes a port
 * before its server listens on it.
 */
final class FreePorts {
  private static final int MIN_PORT = 15_000;

  /** Exclusive upper end of the range. */
  private static final int END_PORT = 30_000;

  private static final int MAX_ATTEMPTS = 1_000;

  private FreePorts() {}

  /**
   * Returns {@code count} different ports.
   *
   * @throws IOException if it does not find enough free ports
   */
  static List<Integer> take(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < MAX_ATTEMPTS && ports.size() < count; i++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, END_PORT);
      if (!ports.contains(port) && isFree(port)) {
        ports.add(port);
      }
    }
    if (ports.size() < count) {
      throw new IOException("only " + ports.size() + " of " + count + " requested ports are free");
    }
    return ports;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
