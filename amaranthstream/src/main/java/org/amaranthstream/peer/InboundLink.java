package org.amaranthstream.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;

/** An accepted and authenticated connection. Used on the decision thread only, but for send. */
final class InboundLink {
  private static final int MAX_ANSWERS = 16;
  private static final long NO_ANSWER = 0;

  private final LocalVm peer;
  private final FrameChannel channel;
  private final Map<Long, RequestId> forwards = new HashMap<>();
  private final Map<Long, Long> answeredAtNanos =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_ANSWERS;
        }
      };
  private int openQueries;
  private long lastHeardNanos;

  InboundLink(LocalVm peer, FrameChannel channel, long nowNanos) {
    this.peer = peer;
    this.channel = channel;
    this.lastHeardNanos = nowNanos;
    this.answeredAtNanos.put(NO_ANSWER, nowNanos);
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

  /** Notes that the heartbeat or ping {@code sequence} is answered. */
  void markAnswered(long sequence, long nowNanos) {
    if (sequence != NO_ANSWER) {
      answeredAtNanos.put(sequence, nowNanos);
    }
  }

  /**
   * Returns an upper bound on the time that a frame was on the way: its sender had the answer to
   * {@code ackedSequence} before it sent the frame. Empty if that answer is forgotten.
   */
  OptionalLong maxTransitNanos(long ackedSequence, long nowNanos) {
    Long answeredAt = answeredAtNanos.get(ackedSequence);
    return answeredAt == null ? OptionalLong.empty() : OptionalLong.of(nowNanos - answeredAt);
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
