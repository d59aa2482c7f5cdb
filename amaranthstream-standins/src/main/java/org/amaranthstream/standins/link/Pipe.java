package org.amaranthstream.standins.link;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

/** One connection through a link. Closing is idempotent and safe from any thread. */
final class Pipe {
  private final LinkStandin link;
  private final NetSocket near;
  private final NetSocket far;
  private volatile boolean lostBytes;

  Pipe(LinkStandin link, NetSocket near, NetSocket far) {
    this.link = link;
    this.near = near;
    this.far = far;
  }

  void open() {
    far.handler(bytes -> carry(bytes, near));
    near.handler(bytes -> carry(bytes, far));
    near.closeHandler(closed -> closeLater());
    far.closeHandler(closed -> closeLater());
    near.resume();
  }

  /** Returns true if bytes were dropped, so that the rest of the stream has no meaning. */
  boolean hasLostBytes() {
    return lostBytes;
  }

  void close() {
    link.remove(this);
    near.close();
    far.close();
  }

  private void carry(Buffer bytes, NetSocket to) {
    if (!link.take(bytes.length())) {
      lostBytes = true;
    } else if (link.latencyMs() == 0) {
      to.write(bytes);
    } else {
      link.vertx().setTimer(link.latencyMs(), id -> to.write(bytes));
    }
  }

  /** Closes the other end once what is under way has arrived. */
  private void closeLater() {
    link.vertx().setTimer(Math.max(1, link.latencyMs()), id -> close());
  }
}
