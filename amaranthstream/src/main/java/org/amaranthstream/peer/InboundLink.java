package org.amaranthstream.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;

/** An accepted and authenticated connection. Used on the decision thread only, but for send. */
final class InboundLink {
  private final LocalVm peer;
  private final FrameChannel channel;
  private final Map<Long, RequestId> forwards = new HashMap<>();
  private int openQueries;
  private long lastHeardNanos;

  InboundLink(LocalVm peer, FrameChannel channel, long nowNanos) {
    this.peer = peer;
    this.channel = channel;
    this.lastHeardNanos = nowNanos;
  }

  LocalVm peer() {
    return peer;
  }

  /** Returns the requests that the peer forwarded here and that run, by forward id. */
  Map<Long, RequestId> forwards() {
    return forwards;
  }

  int openQueries() {
    return openQueries;
  }

  void addOpenQueries(int change) {
    openQueries += change;
  }

  void markHeard(long nowNanos) {
    lastHeardNanos = nowNanos;
  }

  long heardAgeNanos(long nowNanos) {
    return nowNanos - lastHeardNanos;
  }

  SendResult send(Frame frame) {
    return channel.send(frame);
  }

  /** Sends a frame whose loss the peer must notice: if it cannot be sent, the link is closed. */
  void sendOrClose(Frame frame) {
    if (channel.send(frame) != SendResult.SENT) {
      channel.close();
    }
  }

  boolean isOpen() {
    return channel.isOpen();
  }

  void close() {
    channel.close();
  }

  InboundView view(long nowNanos) {
    return new InboundView(
        peer.id(),
        peer.incarnation(),
        Duration.ofNanos(heardAgeNanos(nowNanos)),
        forwards.size(),
        channel.waitingBytes());
  }
}
