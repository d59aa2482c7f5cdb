package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.membership.LeavingServer;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipSettings;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.RendezvousHash;
import org.amaranthstream.peer.ExchangeHandler;
import org.amaranthstream.peer.PeerCredentials;
import org.amaranthstream.peer.PeerExchanges;
import org.amaranthstream.peer.PeerLinkSettings;
import org.amaranthstream.peer.PeerNode;
import org.amaranthstream.peer.PeerQueryService;
import org.amaranthstream.peer.QueryHandler;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * The peer links of this daemon to all registered daemons. They open once the shared key is known.
 *
 * <p>Not thread safe: used on the thread of its timers, which is also the thread of its {@link
 * Duty}.
 */
public final class FleetLinks implements FleetListener, RelayingStore.PeerStoreClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(2);
  private static final Duration SILENT_AFTER = Duration.ofMillis(4_500);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);
  private static final Duration BACKOFF_MAX = Duration.ofSeconds(1);
  private static final Duration BACKOFF_MIN = Duration.ofMillis(100);

  /** Lets sound requests complete on another server first, so that they are not announced. */
  private static final Duration ANNOUNCE_DELAY = Duration.ofMillis(100);

  private static final int MAX_FRAME_BYTES = 2 << 20;
  private static final int FRAMES_PER_LINK = 4;

  private final FleetNode self;
  private final Fleet fleet;
  private final TimerService timers;
  private final Duty duty;
  private final FleetHeartbeatState heartbeatState;
  private final Map<QueryKind, QueryHandler> handlers = new EnumMap<>(QueryKind.class);

  /** Daemons in the membership table whose registration has ended. */
  private final Set<EntryVmId> formerNodes = new HashSet<>();

  private Optional<ImmutableList<EntryVmId>> others = Optional.empty();
  private Optional<ImmutableList<EntryVmId>> linkTargets = Optional.empty();
  private @Nullable MembershipTable table;
  private @Nullable PeerNode node;
  private ExchangeHandler exchangeHandler = ExchangeHandler.REJECTING;
  private boolean isAnnouncePlanned;

  private FleetLinks(
      FleetNode self,
      Fleet fleet,
      TimerService timers,
      Duty duty,
      FleetHeartbeatState heartbeatState) {
    this.self = self;
    this.fleet = fleet;
    this.timers = timers;
    this.duty = duty;
    this.heartbeatState = heartbeatState;
  }

  /** Returns closed links, which {@link #open} opens. */
  public static FleetLinks create(
      FleetNode self,
      Fleet fleet,
      TimerService timers,
      Duty duty,
      FleetHeartbeatState heartbeatState) {
    FleetLinks links =
        new FleetLinks(
            checkNotNull(self, "self"),
            checkNotNull(fleet, "fleet"),
            checkNotNull(timers, "timers"),
            checkNotNull(duty, "duty"),
            checkNotNull(heartbeatState, "heartbeatState"));
    fleet.addListener(links);
    return links;
  }

  /** Sets the handler of a kind of query. Must be called before {@link #open}. */
  public void register(QueryKind kind, QueryHandler handler) {
    handlers.put(kind, handler);
  }

  /** Sets the handler of exchanges. Must be called before {@link #open}. */
  public void setExchangeHandler(ExchangeHandler handler) {
    exchangeHandler = checkNotNull(handler, "handler");
  }

  /** Returns the exchanges with other daemons, empty while the links are not open. */
  public Optional<PeerExchanges> exchanges() {
    return Optional.ofNullable(node).map(PeerNode::exchanges);
  }

  /** Starts to listen, and to connect to the registered daemons, with the shared {@code key}. */
  public void open(byte[] key) {
    LocalVm local = new LocalVm(self.vm(), self.incarnation(), self.region(), self.zone());
    MembershipSettings membership =
        MembershipSettings.builder()
            .suspectAfter(SILENT_AFTER)
            .unreachableAfter(SILENT_AFTER.multipliedBy(2))
            .build();
    table = MembershipTable.create(local, membership, ImmutableList.of(), timers.nowNanos());
    node =
        PeerNode.builder()
            .self(local)
            .settings(settings(key))
            .table(table)
            .timers(timers)
            .decisions(duty)
            .source(heartbeatState)
            .sink(heartbeatState)
            .links(this::linkTargets)
            .exchangeHandler(exchangeHandler)
            .build();
    handlers.forEach(node.queries()::register);
    Result<Integer> port = node.start(NoForwardedWork.INSTANCE);
    if (port instanceof Result.Failure<Integer> failure) {
      logger.atSevere().log("event=peer_links_closed error=\"%s\"", failure.error());
      node = null;
    }
    addAll();
  }

  private PeerLinkSettings settings(byte[] key) {
    return PeerLinkSettings.builder()
        .host(self.host())
        .port(self.port())
        .credentials(PeerCredentials.SharedKey.of(key))
        .heartbeatInterval(HEARTBEAT_PERIOD)
        .keepAliveTimeout(SILENT_AFTER)
        .connectTimeout(CONNECT_TIMEOUT)
        .backoffMin(BACKOFF_MIN)
        .backoffMax(BACKOFF_MAX)
        .maxFrameBytes(MAX_FRAME_BYTES)
        .maxLinkBytes(FRAMES_PER_LINK * MAX_FRAME_BYTES)
        .build();
  }

  /**
   * Adds the daemons that joined to the membership table. Those whose registration has ended keep
   * their links until another one joins, since the cause may be an outage of the store.
   */
  @Override
  public void onNodesChanged(NodesChange change) {
    others = Optional.empty();
    linkTargets = Optional.empty();
    formerNodes.addAll(change.lostVms());
    change.joined().forEach(node -> formerNodes.remove(node.vm()));
    if (table != null && !change.joined().isEmpty()) {
      List<VmEntry> joined = change.joined().stream().map(FleetLinks::entry).toList();
      table.onVmsChanged(joined, formerNodes, timers.nowNanos());
      formerNodes.clear();
    }
  }

  /** Adds all registered daemons to the membership table. */
  private void addAll() {
    if (table != null) {
      List<VmEntry> entries = fleet.nodes().stream().map(FleetLinks::entry).toList();
      table.onVmList(entries, timers.nowNanos());
      formerNodes.clear();
    }
  }

  private static VmEntry entry(FleetNode node) {
    return new VmEntry(
        node.vm().value(),
        VmKind.ENTRY,
        node.region(),
        node.zone(),
        node.host(),
        node.port(),
        Optional.empty(),
        false);
  }

  private ImmutableList<EntryVmId> linkTargets() {
    if (linkTargets.isEmpty()) {
      linkTargets = Optional.of(RelayLinks.targets(self, fleet.nodes()));
    }
    return linkTargets.get();
  }

  /** Passes on to the daemons of the zone that a backend server is leaving. */
  public void onServerLeaving(TrackedServer server) {
    if (table != null) {
      Incarnation incarnation = Incarnation.of(Long.toString(server.registration().startMillis()));
      table.onServerLeaving(new LeavingServer(server.id(), incarnation), timers.nowNanos());
    }
  }

  /** Sends heartbeats after a short delay, because their content has changed. */
  public void announceSoon() {
    if (!isAnnouncePlanned) {
      isAnnouncePlanned = true;
      timers.after(ANNOUNCE_DELAY, this::announce);
    }
  }

  private void announce() {
    isAnnouncePlanned = false;
    if (node != null) {
      node.announce();
    }
  }

  /** Sends a query to another daemon; the future never completes exceptionally. */
  public CompletableFuture<Result<byte[]>> query(
      EntryVmId to, QueryKind kind, byte[] body, Duration timeout) {
    PeerNode open = node;
    if (open == null) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.PEER_UNREACHABLE, "peer links are not open"));
    }
    PeerQueryService queries = open.queries();
    return queries.query(to, kind, body, timeout);
  }

  /**
   * Returns the other daemons, in an order that differs between daemons, so that many daemons
   * without access to the store do not all choose the same peers.
   */
  @Override
  public ImmutableList<EntryVmId> others() {
    if (others.isEmpty()) {
      others = Optional.of(RendezvousHash.order(self.vm().value(), fleet.othersThan(self.vm())));
    }
    return others.get();
  }

  @Override
  public CompletableFuture<Result<byte[]>> call(EntryVmId vm, byte[] call, Duration timeout) {
    return query(vm, QueryKind.STORE_CALL, call, timeout);
  }

  /** Closes all links. */
  public void close() {
    if (node != null) {
      node.close();
    }
  }
}
