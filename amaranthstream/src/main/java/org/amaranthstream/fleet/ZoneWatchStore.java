package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.wire.StoreAnswer;
import org.amaranthstream.fleet.wire.WatchCall;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.GrantedLease;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.KvPage;
import org.amaranthstream.platform.RenewalReply;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.platform.WatchReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Store client whose watches go through the relays of the zone. Only the relays watch the store, so
 * that the number of watches grows with the number of zones and not with the number of daemons.
 *
 * <p>A watch is sent to both relays; the first answer counts. If neither relay answers, the daemon
 * watches the store itself. A relay that left any earlier watch unanswered is not waited for, since
 * each answer of the other relay would prolong the wait. In a fleet of many zones the relays
 * themselves watch through two of them, the roots. The relays only save calls: revisions decide
 * which change is newer, and a daemon that is ahead of a relay ignores what it has already seen.
 * All other calls go directly to the store. Not thread safe: used on the thread of its timers.
 */
public final class ZoneWatchStore implements TransactionalStore, FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Bounds the time for which a daemon can rely on relays that have stopped responding. */
  private static final Duration MAX_RELAYED_WAIT = Duration.ofSeconds(2);

  /** Bounds the time for which a zone can rely on roots that have stopped responding. */
  private static final Duration MAX_ROOT_WAIT = Duration.ofSeconds(1);

  /** Allows for the round trip, and for a relay that is briefly busy. */
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(500);

  /** The codes with which a watch fails that the relay itself has not answered. */
  private static final ImmutableSet<ResultCode> UNANSWERED =
      ImmutableSet.of(
          ResultCode.PEER_UNREACHABLE,
          ResultCode.OUTCOME_UNKNOWN_DEADLINE,
          ResultCode.OUTCOME_UNKNOWN_PEER_LOST);

  private final TransactionalStore store;
  private final TimerService timers;
  private final WatchRelay relay;
  private @Nullable Fleet fleet;
  private @Nullable FleetNode self;
  private RelayClient client = RelayClient.NONE;
  private Optional<ImmutableList<EntryVmId>> relays = Optional.empty();
  private Optional<ImmutableList<EntryVmId>> roots = Optional.empty();

  /** Prefixes that this daemon watches itself because its relays did not answer. */
  private final Set<String> unrelayed = new HashSet<>();

  /** Relays that left a watch unanswered and have answered none since. */
  private final Set<EntryVmId> unresponsive = new HashSet<>();

  private final Set<RelayedWatch> pending = new LinkedHashSet<>();

  /** Client for queries to the relays. */
  @FunctionalInterface
  public interface RelayClient {
    /** A client without relays. */
    RelayClient NONE =
        (vm, kind, watch, timeout) ->
            CompletableFuture.completedFuture(
                Result.failure(ResultCode.PEER_UNREACHABLE, "no relay is available"));

    /**
     * Sends an encoded watch to {@code vm}; the future never completes exceptionally.
     *
     * @param kind {@code WATCH} or {@code DIRECT_WATCH}
     */
    CompletableFuture<Result<byte[]>> watch(
        EntryVmId vm, QueryKind kind, byte[] watch, Duration timeout);
  }

  private ZoneWatchStore(TransactionalStore store, TimerService timers) {
    this.store = store;
    this.timers = timers;
    this.relay = new WatchRelay(timers);
  }

  /** Returns a client that watches {@code store} itself until {@link #attach} is called. */
  public static ZoneWatchStore create(TransactionalStore store, TimerService timers) {
    return new ZoneWatchStore(checkNotNull(store, "store"), checkNotNull(timers, "timers"));
  }

  /** Sets this daemon, the view of the fleet, and the client for queries to the relays. */
  public void attach(FleetNode self, Fleet fleet, RelayClient client) {
    this.self = checkNotNull(self, "self");
    this.fleet = checkNotNull(fleet, "fleet");
    this.client = checkNotNull(client, "client");
    fleet.addListener(this);
  }

  /** Registers the handler of the watches of other daemons. */
  public void serve(FleetLinks links) {
    relay.serve(links);
  }

  /** Handles an encoded watch of another daemon. */
  CompletableFuture<Result<byte[]>> handle(QueryKind kind, byte[] watch) {
    return relay.handle(
        watch, kind == QueryKind.DIRECT_WATCH ? WatchSource.DIRECT : WatchSource.ANY);
  }

  @Override
  public void onNodesChanged(NodesChange change) {
    relays = Optional.empty();
    roots = Optional.empty();
    change.lost().forEach(node -> unresponsive.remove(node.vm()));
  }

  private ImmutableList<EntryVmId> relays() {
    if (fleet == null || self == null) {
      return ImmutableList.of();
    }
    if (relays.isEmpty()) {
      relays = Optional.of(WatchRelaySelection.relays(self.zone(), fleet.nodes()));
    }
    return relays.get();
  }

  private ImmutableList<EntryVmId> roots() {
    if (fleet == null) {
      return ImmutableList.of();
    }
    if (roots.isEmpty()) {
      roots = Optional.of(WatchRelaySelection.roots(fleet.nodes()));
    }
    return roots.get();
  }

  @Override
  public CompletableFuture<WatchReply> watch(String prefix, Revision after, Duration wait) {
    ImmutableList<EntryVmId> current = relays();
    if (self == null || current.isEmpty()) {
      return watchDirectly(prefix, after, wait);
    }
    if (current.contains(self.vm())) {
      return watchAsRelay(prefix, after, wait);
    }
    relay.close(prefix);
    return new RelayedWatch(prefix, after, wait, QueryKind.WATCH).sendTo(current);
  }

  /**
   * Watches for the daemons of the zone. A root's own watch is short, because a silent connection
   * hides a change from the whole fleet until it ends.
   */
  private CompletableFuture<WatchReply> watchAsRelay(String prefix, Revision after, Duration wait) {
    ImmutableList<EntryVmId> current = roots();
    if (current.isEmpty()) {
      return watchDirectly(prefix, after, wait);
    }
    if (self != null && current.contains(self.vm())) {
      return watchDirectly(prefix, after, wait.dividedBy(2));
    }
    relay.onWatchStarted(prefix, after, WatchSource.ANY, wait);
    return new RelayedWatch(prefix, after, wait, QueryKind.DIRECT_WATCH).sendTo(current);
  }

  private CompletableFuture<WatchReply> watchDirectly(
      String prefix, Revision after, Duration wait) {
    relay.onWatchStarted(prefix, after, WatchSource.DIRECT, wait);
    return store
        .watch(prefix, after, wait)
        .thenApply(
            reply -> {
              relay.onReply(prefix, after, reply);
              return reply;
            });
  }

  /** A watch that was sent to several relays, or by a relay to the roots. */
  private final class RelayedWatch {
    private final String prefix;
    private final Revision after;
    private final Duration wait;
    private final QueryKind kind;
    private final long startNanos = timers.nowNanos();
    private final CompletableFuture<WatchReply> reply = new CompletableFuture<>();
    private ImmutableList<EntryVmId> vms = ImmutableList.of();
    private final Set<EntryVmId> failed = new HashSet<>();

    private RelayedWatch(String prefix, Revision after, Duration wait, QueryKind kind) {
      this.prefix = prefix;
      this.after = after;
      this.wait = wait;
      this.kind = kind;
    }

    private CompletableFuture<WatchReply> sendTo(ImmutableList<EntryVmId> vms) {
      this.vms = vms;
      pending.add(this);
      vms.forEach(this::sendTo);
      return reply;
    }

    private void sendTo(EntryVmId vm) {
      Duration longest = isForZone() ? MAX_ROOT_WAIT : MAX_RELAYED_WAIT;
      Duration relayedWait = wait.compareTo(longest) < 0 ? wait : longest;
      byte[] call =
          WatchCall.newBuilder()
              .setPrefix(prefix)
              .setAfter(after.value())
              .setWaitMs(relayedWait.toMillis())
              .build()
              .toByteArray();
      client
          .watch(vm, kind, call, relayedWait.plus(RESPONSE_MARGIN))
          .thenAccept(result -> onAnswer(vm, result));
    }

    /** Returns true if this daemon relays the changes to the daemons of its zone. */
    private boolean isForZone() {
      return kind == QueryKind.DIRECT_WATCH;
    }

    private void onAnswer(EntryVmId vm, Result<byte[]> result) {
      Optional<WatchReply.Changes> changes = decode(vm, result);
      if (isUnanswered(result)) {
        unresponsive.add(vm);
      } else {
        unresponsive.remove(vm);
      }
      if (changes.isEmpty()) {
        failed.add(vm);
        List.copyOf(pending).forEach(RelayedWatch::checkFailed);
      } else if (pending.remove(this)) {
        if (isForZone()) {
          relay.onReply(prefix, after, changes.get());
        }
        if (unrelayed.remove(prefix)) {
          logger.atInfo().log("event=watch_relays_regained prefix=%s vm=%s", prefix, vm);
        }
        reply.complete(changes.get());
      }
    }

    private static boolean isUnanswered(Result<byte[]> result) {
      return result instanceof Result.Failure<byte[]> failure
          && UNANSWERED.contains(failure.error().code());
    }

    /** Watches the store directly if no relay is left that can answer. */
    private void checkFailed() {
      boolean mayAnswer =
          vms.stream().anyMatch(vm -> !failed.contains(vm) && !unresponsive.contains(vm));
      if (mayAnswer || !pending.remove(this)) {
        return;
      }
      if (unrelayed.add(prefix)) {
        logger.atInfo().log("event=watch_relays_lost prefix=%s after=%s", prefix, after);
      }
      watchDirectly(prefix, after, isForZone() ? rest() : wait).thenAccept(reply::complete);
    }

    /**
     * Returns what is left of the wait, since the zone relies on an answer to the whole watch
     * within its wait.
     */
    private Duration rest() {
      Duration rest = wait.minusNanos(timers.nowNanos() - startNanos);
      return rest.isNegative() ? Duration.ZERO : rest;
    }

    private static Optional<WatchReply.Changes> decode(EntryVmId vm, Result<byte[]> result) {
      if (result instanceof Result.Failure<byte[]> failure) {
        logger.atFine().log("event=watch_relay_failed vm=%s error=\"%s\"", vm, failure.error());
        return Optional.empty();
      }
      try {
        byte[] body = ((Result.Success<byte[]>) result).value();
        WatchReply decoded = StoreCallCodec.decodeWatch(StoreAnswer.parseFrom(body));
        return decoded instanceof WatchReply.Changes changes
            ? Optional.of(changes)
            : Optional.empty();
      } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
        logger.atWarning().log("event=watch_answer_invalid vm=%s cause=\"%s\"", vm, e);
        return Optional.empty();
      }
    }
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    return store.get(key);
  }

  @Override
  public CompletableFuture<Result<KvPage>> range(String prefix, String after) {
    return store.range(prefix, after);
  }

  @Override
  public CompletableFuture<TransactionReply> transact(Transaction transaction) {
    return store.transact(transaction);
  }

  @Override
  public CompletableFuture<Result<GrantedLease>> grantLease(Duration ttl) {
    return store.grantLease(ttl);
  }

  @Override
  public CompletableFuture<RenewalReply> renewLease(LeaseId lease) {
    return store.renewLease(lease);
  }

  @Override
  public CompletableFuture<Result<LeaseId>> endLease(LeaseId lease) {
    return store.endLease(lease);
  }
}
