package org.amaranthstream.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;

/**
 * Accepted and authenticated connection.
 *
 * <p>Used on the decision thread only, except {@link #send}, {@link #sendOrClose} and {@link
 * #close}.
 */
final class InboundLink {
  private static final int MAX_RESPONSES = 16;
  private static final long NO_SEQUENCE = 0;

  private final LocalVm peer;
  private final FrameChannel channel;
  private final Map<Long, IncomingForward> forwards = new HashMap<>();
  private final Map<Long, Long> respondedAtNanos =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_RESPONSES;
        }
      };
  private int openQueries;
  private long lastReceivedNanos;

  InboundLink(LocalVm peer, FrameChannel channel, long nowNanos) {
    this.peer = peer;
    this.channel = channel;
    this.lastReceivedNanos = nowNanos;
    this.respondedAtNanos.put(NO_SEQUENCE, nowNanos);
  }

  LocalVm peer() {
    return peer;
  }

  /** Returns the running requests that the peer forwarded to this process, by forward id. */
  Map<Long, IncomingForward> forwards() {
    return forwards;
  }

  int openQueries() {
    return openQueries;
  }

  void addOpenQueries(int change) {
    openQueries += change;
  }

  void markReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
  }

  long lastReceivedAgeNanos(long nowNanos) {
    return nowNanos - lastReceivedNanos;
  }

  /** Records the time of the response to the heartbeat or ping {@code sequence}. */
  void markResponded(long sequence, long nowNanos) {
    if (sequence != NO_SEQUENCE) {
      respondedAtNanos.put(sequence, nowNanos);
    }
  }

  /**
   * Returns an upper bound on the transit time of a frame. Its sender had received the response to
   * {@code ackedSequence} before it sent the frame. Empty if the time of that response is no longer
   * recorded.
   */
  OptionalLong maxTransitNanos(long ackedSequence, long nowNanos) {
    Long respondedAt = respondedAtNanos.get(ackedSequence);
    return respondedAt == null ? OptionalLong.empty() : OptionalLong.of(nowNanos - respondedAt);
  }

  SendResult send(Frame frame) {
    return channel.send(frame);
  }

  /** Sends a frame, or closes the link if that fails, so that the peer detects the loss. */
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
        Duration.ofNanos(lastReceivedAgeNanos(nowNanos)),
        forwards.size(),
        channel.waitingBytes());
  }
}
