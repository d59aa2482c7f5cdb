package org.amaranthstream.standins.link;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

/** Connection from a client through a link to the server. Closing is idempotent and thread safe. */
final class LinkConnection {
  private final LinkStandin link;
  private final NetSocket clientSocket;
  private final NetSocket serverSocket;
  private volatile boolean lostBytes;

  LinkConnection(LinkStandin link, NetSocket clientSocket, NetSocket serverSocket) {
    this.link = link;
    this.clientSocket = clientSocket;
    this.serverSocket = serverSocket;
  }

  /** Starts to forward bytes in both directions. */
  void open() {
    serverSocket.handler(bytes -> forward(bytes, clientSocket));
    clientSocket.handler(bytes -> forward(bytes, serverSocket));
    clientSocket.closeHandler(closed -> closeAfterLatency());
    serverSocket.closeHandler(closed -> closeAfterLatency());
    clientSocket.resume();
  }

  /** Returns true if bytes were dropped, which makes the rest of the stream unusable. */
  boolean hasLostBytes() {
    return lostBytes;
  }

  /** Closes both sockets at once. */
  void close() {
    link.remove(this);
    clientSocket.close();
    serverSocket.close();
  }

  private void forward(Buffer bytes, NetSocket to) {
    if (!link.countIfForwarded(bytes.length())) {
      lostBytes = true;
    } else if (link.latencyMs() == 0) {
      to.write(bytes);
    } else {
      link.vertx().setTimer(link.latencyMs(), id -> to.write(bytes));
    }
  }

  /** Closes both sockets after the latency, so that bytes in transit arrive first. */
  private void closeAfterLatency() {
    link.vertx().setTimer(Math.max(1, link.latencyMs()), id -> close());
  }
}
