package org.amaranthstream.bench.experiment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports of the loopback address that nothing listens at.
 *
 * <p>They are below the range from which connections take theirs, so that none of these takes a
 * port before its server listens.
 */
final class FreePorts {
  private static final int FIRST = 15_000;
  private static final int LAST = 30_000;
  private static final int MAX_TRIES = 1_000;

  private FreePorts() {}

  /**
   * Returns {@code count} different ports.
   *
   * @throws IOException if too few are free
   */
  static List<Integer> take(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < MAX_TRIES && ports.size() < count; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
      if (!ports.contains(port) && isFree(port)) {
        ports.add(port);
      }
    }
    if (ports.size() < count) {
      throw new IOException("only " + ports.size() + " of " + count + " ports are free");
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
