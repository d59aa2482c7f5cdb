package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amaranthstream.calls.AttemptFailure;
import org.amaranthstream.calls.AttemptListener;
import org.amaranthstream.calls.CallRelay;
import org.amaranthstream.calls.CallTransport;
import org.amaranthstream.calls.RelayedCall;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.fleet.wire.CallPart;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.peer.ExchangeListener;
import org.amaranthstream.peer.PeerExchange;
import org.amaranthstream.peer.PeerExchanges;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Relay of calls through the other daemons of the fleet.
 *
 * <p>Must be used on the thread of its timers.
 */
public final class FleetCallRelay implements CallRelay, FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Links that are opened before the first call needs one. */
  private static final int PREPARED_LINKS = 3;

  /** The codes of rejections that concern the call and not the peer. */
  private static final ImmutableSet<ResultCode> CODES_OF_THE_CALL =
      ImmutableSet.of(ResultCode.NOT_RUN_QUARANTINED, ResultCode.NOT_RUN_DEADLINE);

  private final Fleet fleet;
  private final Supplier<Optional<PeerExchanges>> peerExchanges;
  private final TimerService timers;
  private final LongSupplier configVersion;
  private final RelayPeers peers;
  private boolean arePeersStale = true;

  private FleetCallRelay(
      FleetNode self,
      Fleet fleet,
      Supplier<Optional<PeerExchanges>> peerExchanges,
      TimerService timers,
      LongSupplier configVersion) {
    this.fleet = fleet;
    this.peerExchanges = peerExchanges;
    this.timers = timers;
    this.configVersion = configVersion;
    this.peers = new RelayPeers(self);
  }

  /**
   * Returns the relay of the daemon {@code self}.
   *
   * @param peerExchanges supplies the exchanges with peers, empty while the links are not open
   * @param configVersion the version of the active configuration; a peer with an older one rejects
   *     the call
   */
  public static FleetCallRelay create(
      FleetNode self,
      Fleet fleet,
      Supplier<Optional<PeerExchanges>> peerExchanges,
      TimerService timers,
      LongSupplier configVersion) {
    FleetCallRelay relay =
        new FleetCallRelay(
            checkNotNull(self, "self"),
            checkNotNull(fleet, "fleet"),
            checkNotNull(peerExchanges, "peerExchanges"),
            checkNotNull(timers, "timers"),
            checkNotNull(configVersion, "configVersion"));
    fleet.addListener(relay);
    return relay;
  }

  @Override
  public void onNodesChanged(NodesChange change) {
    arePeersStale = true;
  }

  /** Returns the peers, selected anew only if the fleet has changed since the last use. */
  private RelayPeers peers() {
    if (arePeersStale) {
      arePeersStale = false;
      peers.setNodes(fleet.nodes());
    }
    return peers;
  }

  /** Opens links to the peers that would be used first. */
  public void prepare() {
    peerExchanges
        .get()
        .ifPresent(
            exchanges ->
                peers().available(timers.nowNanos()).stream()
                    .limit(PREPARED_LINKS)
                    .forEach(exchanges::prepare));
  }

  @Override
  public boolean isAvailable() {
    return choose().isPresent();
  }

  private Optional<EntryVmId> choose() {
    return peerExchanges
        .get()
        .flatMap(exchanges -> peers().choose(exchanges::isReady, timers.nowNanos()));
  }

  @Override
  public CallTransport.Attempt send(RelayedCall call, Duration timeLeft, AttemptListener listener) {
    EntryVmId peer = choose().orElseThrow(() -> new IllegalStateException("no peer is available"));
    PeerExchanges exchanges = peerExchanges.get().orElseThrow();
    logger.atInfo().log("event=call_relayed request=%s vm=%s", call.call().id(), peer);
    byte[] request = CallCodec.encodeCall(call, configVersion.getAsLong());
    return new RelayedAttempt(
        exchanges.start(peer, request, timeLeft, new RelayedResponse(peer, listener)));
  }

  /** Attempt that a peer runs. */
  private record RelayedAttempt(PeerExchange exchange) implements CallTransport.Attempt {
    @Override
    public void cancel() {
      exchange.cancel();
    }

    @Override
    public void setPaused(boolean isPaused) {
      exchange.setPaused(isPaused);
    }
  }

  /** Response that a peer passes on. */
  private final class RelayedResponse implements ExchangeListener {
    private final EntryVmId peer;
    private final AttemptListener listener;
    private boolean hasHead;

    private RelayedResponse(EntryVmId peer, AttemptListener listener) {
      this.peer = peer;
      this.listener = listener;
    }

    /**
     * Passes on a part.
     *
     * @throws IllegalArgumentException if the part is malformed or not due
     */
    @Override
    public void onPart(byte[] encoded) {
      CallPart part = CallCodec.decodePart(encoded);
      checkArgument(part.hasHead() != hasHead, "a response has one head, before its body");
      if (part.hasHead()) {
        ResponseHead head = CallCodec.decodeHead(part.getHead());
        hasHead = true;
        peers.onServed(peer);
        listener.onHead(head);
      } else {
        listener.onData(CallCodec.decodeData(part.getData()));
      }
    }

    @Override
    public void onEnd() {
      if (hasHead) {
        listener.onEnd();
        return;
      }
      peers.onFailed(peer, timers.nowNanos());
      listener.onFailed(
          new AttemptFailure.Broken("entry VM " + peer + ": the response has no head"));
    }

    @Override
    public void onNotRun(Outcome.NotRun outcome) {
      if (!CODES_OF_THE_CALL.contains(outcome.error().code())) {
        peers.onFailed(peer, timers.nowNanos());
      }
      listener.onFailed(
          new AttemptFailure.NotRun("entry VM " + peer + ": " + outcome.error().message()));
    }

    @Override
    public void onOutcomeUnknown(Outcome.OutcomeUnknown outcome) {
      peers.onFailed(peer, timers.nowNanos());
      listener.onFailed(
          new AttemptFailure.Broken("entry VM " + peer + ": " + outcome.error().message()));
    }
  }
}
