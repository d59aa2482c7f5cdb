package org.amaranthstream.peer;

import com.google.protobuf.UnsafeByteOperations;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.peer.wire.Forward;
import org.amaranthstream.peer.wire.ForwardChunk;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Exchanges with peers over the peer links.
 *
 * <p>Used on the decision thread only.
 */
final class LinkExchanges implements PeerExchanges {
  private final PeerLinks links;
  private final OutgoingForwards forwards;
  private final TimerService timers;
  private final Duration connectTimeout;
  private final List<WaitingExchange> waiting = new ArrayList<>();

  LinkExchanges(
      PeerLinks links, OutgoingForwards forwards, TimerService timers, Duration connectTimeout) {
    this.links = links;
    this.forwards = forwards;
    this.timers = timers;
    this.connectTimeout = connectTimeout;
  }

  @Override
  public boolean isReady(EntryVmId vm) {
    return links.ready(vm).isPresent();
  }

  @Override
  public void prepare(EntryVmId vm) {
    links.getOrOpen(vm).ifPresent(PeerLink::markUsed);
  }

  @Override
  public PeerExchange start(
      EntryVmId vm, byte[] request, Duration timeLeft, ExchangeListener listener) {
    WaitingExchange exchange =
        new WaitingExchange(vm, request, timers.nowNanos(), timeLeft, listener);
    Optional<PeerLink> link = links.getOrOpen(vm);
    if (link.isPresent() && link.get().isReady()) {
      exchange.send(link.get());
    } else if (link.isPresent()) {
      link.get().markUsed();
      waiting.add(exchange);
    } else {
      exchange.failNotSent("its address is unknown");
    }
    return exchange;
  }

  /** Sends the requests that wait for {@code link}. */
  void onLinkReady(PeerLink link) {
    for (WaitingExchange exchange : List.copyOf(waiting)) {
      if (exchange.vm.equals(link.target()) && waiting.remove(exchange)) {
        exchange.send(link);
      }
    }
  }

  /** Fails the requests for which no link became ready in time. */
  void tick() {
    for (WaitingExchange exchange : List.copyOf(waiting)) {
      if (exchange.isOverdue() && waiting.remove(exchange)) {
        exchange.failNotSent("no connection within the timeout");
      }
    }
  }

  /** Exchange that is sent once its link is ready. */
  private final class WaitingExchange implements PeerExchange {
    private final EntryVmId vm;
    private final byte[] request;
    private final long startNanos;
    private final Duration timeLeft;
    private final ExchangeListener listener;
    private OptionalLong id = OptionalLong.empty();
    private boolean isPaused;

    private WaitingExchange(
        EntryVmId vm,
        byte[] request,
        long startNanos,
        Duration timeLeft,
        ExchangeListener listener) {
      this.vm = vm;
      this.request = request;
      this.startNanos = startNanos;
      this.timeLeft = timeLeft;
      this.listener = listener;
    }

    private Duration age() {
      return Duration.ofNanos(timers.nowNanos() - startNanos);
    }

    private boolean isOverdue() {
      return age().compareTo(connectTimeout) >= 0 || age().compareTo(timeLeft) >= 0;
    }

    private void send(PeerLink link) {
      long newId = forwards.newId();
      id = OptionalLong.of(newId);
      Forward forward =
          Forward.newBuilder()
              .setId(newId)
              .setRemainingMs(WireDurations.toMillis(timeLeft.minus(age())))
              .setExchange(UnsafeByteOperations.unsafeWrap(request))
              .build();
      long deadline = startNanos + timeLeft.toNanos();
      SendResult sent = forwards.send(link, forward, deadline, new Exchange(listener));
      if (sent == SendResult.SENT) {
        link.markUsed();
      } else {
        failNotSent(sent.toString());
      }
    }

    private void failNotSent(String reason) {
      ErrorDetail error =
          ErrorDetail.of(ResultCode.PEER_UNREACHABLE, "link to entry VM " + vm + ": " + reason);
      listener.onNotRun(new Outcome.NotRun(error, Optional.empty()));
    }

    @Override
    public void cancel() {
      waiting.remove(this);
      id.ifPresent(forwards::cancel);
    }

    @Override
    public void setPaused(boolean shouldPause) {
      if (isPaused != shouldPause) {
        isPaused = shouldPause;
        id.ifPresent(sent -> forwards.setPaused(sent, shouldPause));
      }
    }
  }

  /** Exchange whose response has not ended. */
  private static final class Exchange implements OutgoingForwards.Listener {
    private final ExchangeListener listener;

    private Exchange(ExchangeListener listener) {
      this.listener = listener;
    }

    @Override
    public void onChunk(ForwardChunk chunk) {
      listener.onPart(chunk.getPart().toByteArray());
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
      if (outcome.hasExchangeEnd()) {
        listener.onEnd();
        return;
      }
      Outcome decoded = OutcomeCodec.decode(outcome);
      if (decoded instanceof Outcome.NotRun notRun) {
        listener.onNotRun(notRun);
      } else if (decoded instanceof Outcome.OutcomeUnknown unknown) {
        listener.onOutcomeUnknown(unknown);
      } else {
        listener.onOutcomeUnknown(
            new Outcome.OutcomeUnknown(
                ErrorDetail.of(
                    ResultCode.BACKEND_ANSWER_INVALID, "the peer responded to other work")));
      }
    }

    @Override
    public void onOutcomeUnknown(Outcome.OutcomeUnknown outcome) {
      listener.onOutcomeUnknown(outcome);
    }
  }
}
