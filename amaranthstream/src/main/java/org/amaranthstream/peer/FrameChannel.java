package org.amaranthstream.peer;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.placement.Locality;

/**
 * Authenticated connection with a bounded number of frames and bytes that wait to be written.
 *
 * <p>A frame counts as waiting until the operating system accepts it. Once a peer that reads slowly
 * reaches the bound, further frames for it are rejected, so that they do not fill the memory of
 * this process.
 *
 * <p>Thread safe.
 */
final class FrameChannel {
  private final Channel channel;
  private final PeerLinkSettings settings;
  private final OutboundBudget budget;
  private final LinkByteCounters counters;
  private final Locality locality;
  private final AtomicInteger waitingFrames = new AtomicInteger();
  private final AtomicLong waitingBytes = new AtomicLong();

  FrameChannel(
      Channel channel,
      PeerLinkSettings settings,
      OutboundBudget budget,
      LinkByteCounters counters,
      Locality locality) {
    this.channel = channel;
    this.settings = settings;
    this.budget = budget;
    this.counters = counters;
    this.locality = locality;
  }

  /** Sends {@code frame}, or returns the reason why it is not sent. */
  SendResult send(Frame frame) {
    int size = frame.getSerializedSize();
    if (size > settings.maxFrameBytes()) {
      return SendResult.TOO_LARGE;
    }
    if (!channel.isActive()) {
      return SendResult.NOT_CONNECTED;
    }
    if (!tryReserve(size)) {
      return SendResult.FULL;
    }
    counters.addSent(locality, size + FrameDecoder.LENGTH_BYTES);
    channel.writeAndFlush(frame).addListener(unused -> release(size));
    return SendResult.SENT;
  }

  private boolean tryReserve(int size) {
    int frames = waitingFrames.incrementAndGet();
    long bytes = waitingBytes.addAndGet(size);
    boolean fits = frames <= settings.maxLinkFrames() && bytes <= settings.maxLinkBytes();
    if (fits && budget.tryAcquire(size)) {
      return true;
    }
    waitingFrames.decrementAndGet();
    waitingBytes.addAndGet(-size);
    return false;
  }

  private void release(int size) {
    waitingFrames.decrementAndGet();
    waitingBytes.addAndGet(-size);
    budget.release(size);
  }

  boolean isOpen() {
    return channel.isOpen();
  }

  int waitingFrames() {
    return waitingFrames.get();
  }

  long waitingBytes() {
    return waitingBytes.get();
  }

  Locality locality() {
    return locality;
  }

  void close() {
    channel.close();
  }
}
