package org.amaranthstream.peer;

import com.google.protobuf.UnsafeByteOperations;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.peer.wire.ExchangeEnd;
import org.amaranthstream.peer.wire.Forward;
import org.amaranthstream.peer.wire.ForwardChunk;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.peer.wire.Frame;

/** Exchange that a peer has started, and whose response it receives over its link. */
final class IncomingExchange implements IncomingForward, ExchangeResponder {
  private final InboundLink link;
  private final long id;
  private Runnable canceller = () -> {};
  private Runnable onResumed = () -> {};
  private boolean isPaused;
  private boolean isOver;

  IncomingExchange(InboundLink link, long id) {
    this.link = link;
    this.id = id;
  }

  void start(ExchangeHandler handler, Forward forward) {
    link.forwards().put(id, this);
    Runnable started =
        handler.onRequest(
            link.peer(),
            forward.getExchange().toByteArray(),
            WireDurations.fromMillis(forward.getRemainingMs()),
            this);
    if (!isOver) {
      canceller = started;
    }
  }

  private boolean close() {
    boolean wasOpen = !isOver;
    isOver = true;
    link.forwards().remove(id, this);
    return wasOpen;
  }

  @Override
  public void stop() {
    if (close()) {
      canceller.run();
    }
  }

  @Override
  public boolean sendPart(byte[] part) {
    if (isOver) {
      return false;
    }
    ForwardChunk chunk =
        ForwardChunk.newBuilder().setId(id).setPart(UnsafeByteOperations.unsafeWrap(part)).build();
    boolean isSent =
        link.send(Frame.newBuilder().setForwardChunk(chunk).build()) == SendResult.SENT;
    if (!isSent) {
      close();
      link.close();
    }
    return isSent;
  }

  @Override
  public void setPaused(boolean isPaused) {
    this.isPaused = isPaused;
    if (!isPaused && !isOver) {
      onResumed.run();
    }
  }

  @Override
  public boolean isPaused() {
    return isPaused;
  }

  @Override
  public void onResumed(Runnable task) {
    onResumed = task;
  }

  @Override
  public void end() {
    if (close()) {
      send(
          ForwardOutcome.newBuilder()
              .setId(id)
              .setExchangeEnd(ExchangeEnd.getDefaultInstance())
              .build());
    }
  }

  @Override
  public void fail(Outcome.NotRun outcome) {
    if (close()) {
      send(OutcomeCodec.encode(id, outcome));
    }
  }

  @Override
  public void fail(Outcome.OutcomeUnknown outcome) {
    if (close()) {
      send(OutcomeCodec.encode(id, outcome));
    }
  }

  private void send(ForwardOutcome outcome) {
    link.sendOrClose(Frame.newBuilder().setForwardOutcome(outcome).build());
  }
}
