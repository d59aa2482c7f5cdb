package org.amaranthstream.ingress;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** Access to the channels of HTTP connections. */
final class Channels {
  private Channels() {}

  /** Returns the channel of {@code connection}. */
  static Channel of(HttpConnection connection) {
    return ((ConnectionBase) connection).channel();
  }
}
