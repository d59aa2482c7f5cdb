package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.amaranthstream.fleet.wire.RangeCall;
import org.amaranthstream.fleet.wire.StoreAnswer;
import org.amaranthstream.fleet.wire.StoreCall;
import org.amaranthstream.fleet.wire.WatchCall;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.peer.PeerQuery;
import org.amaranthstream.platform.GrantedLease;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.KvPage;
import org.amaranthstream.platform.RenewalReply;
import org.amaranthstream.platform.StoreMonitor;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.platform.WatchReply;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * A store that is reached through another daemon while this one does not reach it itself.
 *
 * <p>Answers the load pattern of a store that serves only some of the daemons: the others go on
 * with their leases, duties and jobs. While the store is away, renewals of the lease still try the
 * directCall way, and so find out when it works again. Used on one thread.
 */
public final class RelayingStore implements TransactionalStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1_500);

  /** A watch through a peer ends soon, so that the directCall way is tried again. */
  private static final Duration MAX_RELAYED_WATCH = Duration.ofSeconds(2);

  private static final int MAX_PEERS = 3;
  private static final ErrorDetail STORE_UNAVAILABLE =
      ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "the store went away during the watch");

  private final TransactionalStore direct;
  private final StoreMonitor monitor;
  private final Set<CompletableFuture<WatchReply>> watches = new HashSet<>();
  private PeerStoreClient peers = PeerStoreClient.NONE;
  private Optional<EntryVmId> lastWorkingPeer = Optional.empty();

  /** The way to the store through other daemons. */
  public interface PeerStoreClient {
    /** No other daemon. */
    PeerStoreClient NONE =
        new PeerStoreClient() {
          @Override
          public ImmutableList<EntryVmId> others() {
            return ImmutableList.of();
          }

          @Override
          public CompletableFuture<Result<byte[]>> call(
              EntryVmId vm, byte[] call, Duration timeout) {
            return CompletableFuture.completedFuture(
                Result.failure(ResultCode.PEER_UNREACHABLE, "there is no peer"));
          }
        };

    /** Returns the other daemons. */
    ImmutableList<EntryVmId> others();

    /** Lets {@code vm} make a call; the future never completes exceptionally. */
    CompletableFuture<Result<byte[]>> call(EntryVmId vm, byte[] call, Duration timeout);
  }

  private RelayingStore(TransactionalStore direct, StoreMonitor monitor) {
    this.direct = direct;
    this.monitor = monitor;
  }

  /** Returns a store over {@code direct}, or over a peer while {@code monitor} says it is away. */
  public static RelayingStore create(TransactionalStore direct, StoreMonitor monitor) {
    RelayingStore store =
        new RelayingStore(checkNotNull(direct, "direct"), checkNotNull(monitor, "monitor"));
    monitor.onUnavailable(store::failOpenWatches);
    return store;
  }

  /** Sets the way through other daemons. */
  public void attach(PeerStoreClient peers) {
    this.peers = checkNotNull(peers, "peers");
  }

  private ImmutableList<EntryVmId> peers() {
    List<EntryVmId> order = new ArrayList<>();
    lastWorkingPeer.ifPresent(order::add);
    peers.others().stream().filter(vm -> !order.contains(vm)).forEach(order::add);
    return order.stream().limit(MAX_PEERS).collect(ImmutableList.toImmutableList());
  }

  private void failOpenWatches() {
    List<CompletableFuture<WatchReply>> open = List.copyOf(watches);
    watches.clear();
    open.forEach(watch -> watch.complete(new WatchReply.Failed(STORE_UNAVAILABLE)));
  }

  /** Asks one peer after another until one has asked the store. */
  private CompletableFuture<StoreAnswer> relay(StoreCall call, Duration timeout) {
    CompletableFuture<StoreAnswer> response = new CompletableFuture<>();
    relay(call, timeout, peers(), 0, response);
    return response;
  }

  private void relay(
      StoreCall call,
      Duration timeout,
      ImmutableList<EntryVmId> order,
      int next,
      CompletableFuture<StoreAnswer> response) {
    if (next == order.size()) {
      response.complete(StoreAnswer.newBuilder().setNotDone("no peer reaches the store").build());
      return;
    }
    EntryVmId peer = order.get(next);
    peers
        .call(peer, call.toByteArray(), timeout)
        .thenAccept(
            result -> {
              Optional<StoreAnswer> decoded = decode(result, peer);
              if (decoded.isPresent()) {
                response.complete(decoded.get());
              } else {
                relay(call, timeout, order, next + 1, response);
              }
            });
  }

  /** Returns the response to use; empty if the peer has certainly not asked the store. */
  private Optional<StoreAnswer> decode(Result<byte[]> result, EntryVmId peer) {
    if (result instanceof Result.Success<byte[]> success) {
      lastWorkingPeer = Optional.of(peer);
      return Optional.of(parse(success.value()));
    }
    ErrorDetail error = ((Result.Failure<byte[]>) result).error();
    boolean isNotApplied =
        error.code() == ResultCode.PLATFORM_UNAVAILABLE || PeerQuery.isNotSent(error.code());
    logger.atFine().log("event=store_relay_failed vm=%s error=\"%s\"", peer, error);
    return isNotApplied
        ? Optional.empty()
        : Optional.of(StoreAnswer.newBuilder().setUnknown(error.message()).build());
  }

  private static StoreAnswer parse(byte[] body) {
    try {
      return StoreAnswer.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return StoreAnswer.newBuilder().setUnknown("an answer that cannot be read").build();
    }
  }

  /**
   * Makes a call on one way, and on the other if it was certainly not made on the first: on the
   * directCall way first, or through a peer first while the store is away.
   */
  private <T> CompletableFuture<T> callWithFallback(
      Function<TransactionalStore, CompletableFuture<T>> directCall,
      Predicate<T> isNotApplied,
      StoreCall call,
      Function<StoreAnswer, T> decoder) {
    Supplier<CompletableFuture<T>> unrelayed = () -> directCall.apply(direct);
    Supplier<CompletableFuture<T>> relayed = () -> relay(call, RELAY_TIMEOUT).thenApply(decoder);
    return monitor.isUnavailable()
        ? orElse(relayed, isNotApplied, unrelayed)
        : orElse(unrelayed, isNotApplied, relayed);
  }

  private static <T> CompletableFuture<T> orElse(
      Supplier<CompletableFuture<T>> first,
      Predicate<T> isNotApplied,
      Supplier<CompletableFuture<T>> second) {
    return first
        .get()
        .thenCompose(
            reply ->
                isNotApplied.test(reply) ? second.get() : CompletableFuture.completedFuture(reply));
  }

  private static <T> boolean isFailure(Result<T> result) {
    return result instanceof Result.Failure;
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    StoreCall call = StoreCall.newBuilder().setGet(key).build();
    return callWithFallback(
        store -> store.get(key), RelayingStore::isFailure, call, StoreCallCodec::decodeEntry);
  }

  @Override
  public CompletableFuture<Result<KvPage>> range(String prefix, String after) {
    StoreCall call =
        StoreCall.newBuilder()
            .setRange(RangeCall.newBuilder().setPrefix(prefix).setAfter(after))
            .build();
    return callWithFallback(
        store -> store.range(prefix, after),
        RelayingStore::isFailure,
        call,
        StoreCallCodec::decodePage);
  }

  @Override
  public CompletableFuture<WatchReply> watch(String prefix, Revision after, Duration wait) {
    if (!monitor.isUnavailable()) {
      CompletableFuture<WatchReply> reply = new CompletableFuture<>();
      watches.add(reply);
      direct
          .watch(prefix, after, wait)
          .thenAccept(
              response -> {
                watches.remove(reply);
                reply.complete(response);
              });
      return reply;
    }
    Duration relayedWait = wait.compareTo(MAX_RELAYED_WATCH) < 0 ? wait : MAX_RELAYED_WATCH;
    WatchCall watch =
        WatchCall.newBuilder()
            .setPrefix(prefix)
            .setAfter(after.value())
            .setWaitMs(relayedWait.toMillis())
            .build();
    StoreCall call = StoreCall.newBuilder().setWatch(watch).build();
    return orElse(
        () -> relay(call, relayedWait.plus(RELAY_TIMEOUT)).thenApply(StoreCallCodec::decodeWatch),
        reply -> reply instanceof WatchReply.Failed,
        () -> direct.watch(prefix, after, relayedWait));
  }

  @Override
  public CompletableFuture<TransactionReply> transact(Transaction transaction) {
    StoreCall call =
        StoreCall.newBuilder().setTransaction(StoreCallCodec.encodeCall(transaction)).build();
    return callWithFallback(
        store -> store.transact(transaction),
        reply -> reply instanceof TransactionReply.NotDone,
        call,
        StoreCallCodec::decodeTransaction);
  }

  @Override
  public CompletableFuture<Result<GrantedLease>> grantLease(Duration ttl) {
    StoreCall call = StoreCall.newBuilder().setGrantTtlMs(ttl.toMillis()).build();
    return callWithFallback(
        store -> store.grantLease(ttl),
        RelayingStore::isFailure,
        call,
        StoreCallCodec::decodeGrant);
  }

  /** A renewal may be made twice, so the directCall way is tried even while the store is away. */
  @Override
  public CompletableFuture<RenewalReply> renewLease(LeaseId lease) {
    StoreCall call = StoreCall.newBuilder().setRenewLease(lease.value()).build();
    CompletableFuture<RenewalReply> directCall = direct.renewLease(lease);
    if (monitor.isUnavailable()) {
      return relay(call, RELAY_TIMEOUT).thenApply(StoreCallCodec::decodeRenewal);
    }
    return directCall.thenCompose(
        reply ->
            reply instanceof RenewalReply.Failed
                ? relay(call, RELAY_TIMEOUT).thenApply(StoreCallCodec::decodeRenewal)
                : CompletableFuture.completedFuture(reply));
  }

  @Override
  public CompletableFuture<Result<LeaseId>> endLease(LeaseId lease) {
    StoreCall call = StoreCall.newBuilder().setEndLease(lease.value()).build();
    return callWithFallback(
        store -> store.endLease(lease),
        RelayingStore::isFailure,
        call,
        response -> StoreCallCodec.decodeEnd(response, lease));
  }
}
