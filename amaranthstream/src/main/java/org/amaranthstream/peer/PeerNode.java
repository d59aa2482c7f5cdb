package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.List;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.dispatch.ZoneForwarder;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Pong;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Local node of the mesh of entry VMs: links, heartbeats, queries and forwarding. It also applies
 * the timeouts of the membership table.
 *
 * <p>Created, started and stopped on one thread. {@link #queries} is thread safe. The forwarder and
 * the snapshot are used on the decision thread.
 *
 * <pre>{@code
 * PeerNode node =
 *     PeerNode.builder()
 *         .self(self)
 *         .settings(settings)
 *         .table(table)
 *         .timers(timers)
 *         .decisions(decisionDuty)
 *         .source(source)
 *         .sink(sink)
 *         .build();
 * Dispatcher dispatcher = ... node.forwarder() ...;
 * Result<Integer> port = node.start(dispatcher);
 * }</pre>
 */
public final class PeerNode implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

  private final PeerLinkSettings settings;
  private final MembershipTable table;
  private final TimerService timers;
  private final Duty decisions;
  private final LinkByteCounters counters = new LinkByteCounters();
  private final OutboundBudget budget;
  private final QueryHandlerRegistry handlers = new QueryHandlerRegistry();
  private final LocalVm self;
  private final HeartbeatExchange heartbeats;
  private final InboundLinks inbound;
  private final PeerLinks links;
  private final PeerQueryClient queries;
  private final OutgoingForwards forwards;
  private final PeerForwarder forwarder;
  private final LinkExchanges exchanges;
  private final ExchangeHandler exchangeHandler;
  private final QueryServer queryServer;
  private final DelegatingConnector connector = new DelegatingConnector();
  private @Nullable ForwardServer forwardServer;
  private @Nullable PeerTransport transport;
  private @Nullable Subscription tickTimer;
  private @Nullable Subscription heartbeatTimer;

  private PeerNode(Builder builder) {
    this.self = checkNotNull(builder.self, "self");
    this.settings = checkNotNull(builder.settings, "settings");
    this.table = checkNotNull(builder.table, "table");
    this.timers = checkNotNull(builder.timers, "timers");
    this.decisions = checkNotNull(builder.decisions, "decisions");
    this.budget = new OutboundBudget(settings.maxTotalBytes());
    HeartbeatSource source = checkNotNull(builder.source, "source");
    HeartbeatSink sink = checkNotNull(builder.sink, "sink");
    this.heartbeats = new HeartbeatExchange(self, table, source, sink, timers);
    this.inbound = new InboundLinks(settings, timers, decisions, new InboundFrameHandler());
    this.links =
        new PeerLinks(
            table,
            builder.links == null ? table::linkTargets : builder.links,
            connector,
            settings,
            timers,
            decisions,
            new OutboundFrameHandler());
    this.queries = new PeerQueryClient(self, links, handlers, settings, timers, decisions);
    this.queryServer = new QueryServer(handlers, decisions);
    this.forwards = new OutgoingForwards(links, timers);
    this.forwarder = new PeerForwarder(table, links, forwards, timers);
    this.exchanges = new LinkExchanges(links, forwards, timers, settings.connectTimeout());
    this.exchangeHandler = builder.exchangeHandler;
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Starts to listen, to connect and to send heartbeats.
   *
   * @param runner runs the work that peers forward
   * @return the port on which the node listens, or the error of the bind or of the credentials
   */
  public Result<Integer> start(WorkRunner runner) {
    Result<PeerTls> tls = PeerTls.of(settings.credentials());
    if (tls instanceof Result.Failure<PeerTls> failure) {
      return Result.failure(failure.error());
    }
    forwardServer = new ForwardServer(table, runner, exchangeHandler, timers);
    transport = newTransport(((Result.Success<PeerTls>) tls).value());
    connector.set(transport);
    Result<Integer> port = transport.listen(inbound::newListener);
    if (port instanceof Result.Failure) {
      transport.close();
      return port;
    }
    tickTimer = timers.every(TICK_INTERVAL, this::onTick);
    heartbeatTimer =
        timers.every(settings.heartbeatInterval(), () -> heartbeats.send(links, inbound));
    return port;
  }

  private PeerTransport newTransport(PeerTls tls) {
    Authenticator authenticator =
        settings.credentials() instanceof PeerCredentials.SharedKey key
            ? new SharedKeyAuthenticator(key)
            : new TlsAuthenticator();
    HandshakeContext handshake =
        new HandshakeContext(self, authenticator, settings, budget, counters);
    return new PeerTransport(handshake, tls, timers);
  }

  private void onTick() {
    table.tick(timers.nowNanos());
    links.tick();
    inbound.tick();
    queries.tick();
    forwards.tick();
    exchanges.tick();
    if (transport != null) {
      transport.tick();
    }
  }

  /** Returns the service for queries to and from other entry VMs. */
  public PeerQueryService queries() {
    return queries;
  }

  /** Returns the forwarder of work to other availability zones. */
  public ZoneForwarder forwarder() {
    return forwarder;
  }

  /** Returns the exchanges with other entry VMs. */
  public PeerExchanges exchanges() {
    return exchanges;
  }

  /** Returns the byte counters of the links. */
  public LinkBytes bytes() {
    return counters;
  }

  /** Returns the state of all links; called on the decision thread. */
  public PeerSnapshot snapshot() {
    return new PeerSnapshot(
        links.views(),
        inbound.views(),
        queries.openCount(),
        forwards.openCount(),
        budget.waitingBytes());
  }

  /**
   * Sends a heartbeat immediately, to announce a change of phase; called on the decision thread.
   */
  public void announce() {
    heartbeats.send(links, inbound);
  }

  /** Stops timers and closes all links; called on the decision thread. */
  @Override
  public void close() {
    if (tickTimer != null) {
      tickTimer.cancel();
    }
    if (heartbeatTimer != null) {
      heartbeatTimer.cancel();
    }
    links.close();
    inbound.close();
    if (transport != null) {
      transport.close();
    }
  }

  /** Handler of frames received on links that this process opened. */
  private final class OutboundFrameHandler implements LinkListener {
    @Override
    public void onLinkReady(PeerLink link) {
      queries.onLinkReady(link);
      exchanges.onLinkReady(link);
      heartbeats.send(List.of(link), inbound);
    }

    @Override
    public void onLinkFrame(PeerLink link, Frame frame) {
      switch (frame.getBodyCase()) {
        case PONG ->
            table.onLinkResponse(
                link.target(),
                HeartbeatCodec.decodePhase(frame.getPong().getPhase()),
                timers.nowNanos());
        case QUERY_REPLY -> queries.onResponse(link, frame.getQueryReply());
        case FORWARD_CHUNK -> forwards.onChunk(link, frame.getForwardChunk());
        case FORWARD_OUTCOME -> forwards.onOutcome(link, frame.getForwardOutcome());
        default ->
            logger.atWarning().log(
                "event=peer_frame_unexpected vm=%s kind=%s", link.target(), frame.getBodyCase());
      }
    }

    @Override
    public void onLinkLost(PeerLink link, String reason) {
      queries.onLinkLost(link, reason);
      forwards.onLinkLost(link, reason);
    }
  }

  /** Handler of frames received on connections that other entry VMs opened. */
  private final class InboundFrameHandler implements InboundLinkListener {
    @Override
    public void onInboundFrame(InboundLink link, Frame frame) {
      ForwardServer forwards = checkNotNull(forwardServer, "the node is not started");
      switch (frame.getBodyCase()) {
        case PING -> sendPong(link, frame.getPing().getSequence());
        case HEARTBEAT -> onHeartbeat(link, frame);
        case QUERY -> queryServer.onQuery(link, frame.getQuery());
        case FORWARD -> forwards.onForward(link, frame.getForward());
        case FORWARD_CANCEL -> forwards.onCancel(link, frame.getForwardCancel().getId());
        case FORWARD_FLOW -> forwards.onFlow(link, frame.getForwardFlow());
        default -> {
          logger.atWarning().log(
              "event=peer_frame_unexpected vm=%s kind=%s", link.peer().id(), frame.getBodyCase());
          link.close();
        }
      }
    }

    private void onHeartbeat(InboundLink link, Frame frame) {
      try {
        heartbeats.receive(link, frame.getHeartbeat());
      } catch (IllegalArgumentException e) {
        logger.atWarning().log(
            "event=heartbeat_invalid vm=%s reason=\"%s\"", link.peer().id(), e.getMessage());
        link.close();
        return;
      }
      sendPong(link, frame.getHeartbeat().getSequence());
    }

    private void sendPong(InboundLink link, long sequence) {
      Pong pong =
          Pong.newBuilder()
              .setSequence(sequence)
              .setPhase(HeartbeatCodec.encodePhase(table.phase()))
              .build();
      link.markResponded(sequence, timers.nowNanos());
      // If the link is full, the pong is dropped. A peer that receives nothing replaces the
      // connection.
      SendResult unused = link.send(Frame.newBuilder().setPong(pong).build());
    }

    @Override
    public void onInboundClosed(InboundLink link) {
      checkNotNull(forwardServer, "the node is not started").onLinkClosed(link);
    }
  }

  /**
   * Builder of {@link PeerNode}. All properties but the link selection and the handler of exchanges
   * are required.
   */
  public static final class Builder {
    private @Nullable LocalVm self;
    private @Nullable PeerLinkSettings settings;
    private @Nullable MembershipTable table;
    private @Nullable TimerService timers;
    private @Nullable Duty decisions;
    private @Nullable HeartbeatSource source;
    private @Nullable HeartbeatSink sink;
    private @Nullable LinkSelection links;
    private ExchangeHandler exchangeHandler = ExchangeHandler.REJECTING;

    private Builder() {}

    /** Sets the local entry VM. */
    @CanIgnoreReturnValue
    public Builder self(LocalVm self) {
      this.self = self;
      return this;
    }

    /** Sets the address, credentials, timeouts and bounds. */
    @CanIgnoreReturnValue
    public Builder settings(PeerLinkSettings settings) {
      this.settings = settings;
      return this;
    }

    /** Sets the membership table, to which the node applies heartbeats and timeouts. */
    @CanIgnoreReturnValue
    public Builder table(MembershipTable table) {
      this.table = table;
      return this;
    }

    /** Sets the timers, whose tasks run on the decision thread. */
    @CanIgnoreReturnValue
    public Builder timers(TimerService timers) {
      this.timers = timers;
      return this;
    }

    /** Sets the executor of the decision thread. */
    @CanIgnoreReturnValue
    public Builder decisions(Duty decisions) {
      this.decisions = decisions;
      return this;
    }

    /** Sets the source of the heartbeat content besides membership. */
    @CanIgnoreReturnValue
    public Builder source(HeartbeatSource source) {
      this.source = source;
      return this;
    }

    /** Sets the receiver of the heartbeat content besides membership. */
    @CanIgnoreReturnValue
    public Builder sink(HeartbeatSink sink) {
      this.sink = sink;
      return this;
    }

    /** Sets the links to keep open instead of those that the membership table selects. */
    @CanIgnoreReturnValue
    public Builder links(LinkSelection links) {
      this.links = links;
      return this;
    }

    /** Sets the handler of exchanges, without which they are rejected. */
    @CanIgnoreReturnValue
    public Builder exchangeHandler(ExchangeHandler exchangeHandler) {
      this.exchangeHandler = checkNotNull(exchangeHandler, "exchangeHandler");
      return this;
    }

    /**
     * Returns the node, which is not started yet.
     *
     * @throws NullPointerException if a property is not set
     */
    public PeerNode build() {
      return new PeerNode(this);
    }
  }
}
