package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
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
import org.amaranthstream.peer.PeerQueryService;
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
 * A store client that relays calls through a peer while this daemon cannot reach the store.
 *
 * <p>Leases, leadership and jobs thereby continue when the store serves only some of the daemons.
 * During an outage, lease renewals are still sent to the store directly as well, which detects its
 * recovery. Not thread safe: used on one thread.
 */
public final class RelayingStore implements TransactionalStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1_500);

  /** Limits relayed watches, so that the direct connection is soon tried again. */
  private static final Duration MAX_RELAYED_WATCH = Duration.ofSeconds(2);

  private static final int MAX_PEERS = 3;
  private static final ErrorDetail STORE_UNAVAILABLE =
      ErrorDetail.of(
          ResultCode.PLATFORM_UNAVAILABLE, "the store became unavailable during the watch");

  private final TransactionalStore direct;
  private final StoreMonitor monitor;
  private final Set<CompletableFuture<WatchReply>> watches = new HashSet<>();
  private PeerStoreClient peers = PeerStoreClient.NONE;
  private Optional<EntryVmId> lastWorkingPeer = Optional.empty();
  private int firstPeer;

  /** A client for store calls through other daemons. */
  public interface PeerStoreClient {
    /** A client without peers. */
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
                Result.failure(ResultCode.PEER_UNREACHABLE, "no peer is available"));
          }
        };

    /** Returns the daemons that can relay calls, in the order in which this daemon tries them. */
    ImmutableList<EntryVmId> others();

    /** Sends an encoded call to {@code vm}; the future never completes exceptionally. */
    CompletableFuture<Result<byte[]>> call(EntryVmId vm, byte[] call, Duration timeout);
  }

  private RelayingStore(TransactionalStore direct, StoreMonitor monitor) {
    this.direct = direct;
    this.monitor = monitor;
  }

  /**
   * Returns a client that uses {@code direct}, or a peer while {@code monitor} reports an outage.
   * Until {@link #attach} is called there are no peers.
   */
  public static RelayingStore create(TransactionalStore direct, StoreMonitor monitor) {
    RelayingStore store =
        new RelayingStore(checkNotNull(direct, "direct"), checkNotNull(monitor, "monitor"));
    monitor.onUnavailable(store::failOpenWatches);
    return store;
  }

  /** Sets the client for calls through peers. */
  public void attach(PeerStoreClient peers) {
    this.peers = checkNotNull(peers, "peers");
  }

  private ImmutableList<EntryVmId> peers() {
    ImmutableList<EntryVmId> others = peers.others();
    Set<EntryVmId> order = new LinkedHashSet<>();
    lastWorkingPeer.ifPresent(order::add);
    for (int i = 0; i < others.size() && order.size() < MAX_PEERS; i++) {
      order.add(others.get((firstPeer + i) % others.size()));
    }
    return ImmutableList.copyOf(order);
  }

  /** Makes the next call try other peers, because none of the last ones reaches the store. */
  private void onNoPeerWorking() {
    lastWorkingPeer = Optional.empty();
    firstPeer = (firstPeer + MAX_PEERS) % Math.max(1, peers.others().size());
  }

  private void failOpenWatches() {
    List<CompletableFuture<WatchReply>> open = List.copyOf(watches);
    watches.clear();
    open.forEach(watch -> watch.complete(new WatchReply.Failed(STORE_UNAVAILABLE)));
  }

  /** Tries one peer after another until one has made the call. */
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
      onNoPeerWorking();
      response.complete(StoreAnswer.newBuilder().setNotDone("no peer reaches the store").build());
      return;
    }
    EntryVmId peer = order.get(next);
    peers
        .call(peer, call.toByteArray(), timeout)
        .thenAccept(
            result -> {
              Optional<StoreAnswer> decoded =
                  decode(result, peer).filter(answer -> !isFailedWatch(call, answer, peer));
              if (decoded.isPresent()) {
                response.complete(decoded.get());
              } else {
                relay(call, timeout, order, next + 1, response);
              }
            });
  }

  /**
   * Returns true if the watch has failed at {@code peer}, which then may not reach the store
   * either. Other calls are not made by further peers, since the store may have limited their rate.
   */
  private boolean isFailedWatch(StoreCall call, StoreAnswer answer, EntryVmId peer) {
    boolean isFailed = call.hasWatch() && answer.hasNotDone();
    if (isFailed && lastWorkingPeer.equals(Optional.of(peer))) {
      lastWorkingPeer = Optional.empty();
    }
    return isFailed;
  }

  /** Returns the response to use, empty if the peer has definitely not made the call. */
  private Optional<StoreAnswer> decode(Result<byte[]> result, EntryVmId peer) {
    if (result instanceof Result.Success<byte[]> success) {
      lastWorkingPeer = Optional.of(peer);
      return Optional.of(parse(success.value()));
    }
    ErrorDetail error = ((Result.Failure<byte[]>) result).error();
    boolean isNotMade =
        error.code() == ResultCode.PLATFORM_UNAVAILABLE || PeerQueryService.isNotSent(error.code());
    logger.atFine().log("event=store_relay_failed vm=%s error=\"%s\"", peer, error);
    return isNotMade
        ? Optional.empty()
        : Optional.of(StoreAnswer.newBuilder().setUnknown(error.message()).build());
  }

  private static StoreAnswer parse(byte[] body) {
    try {
      return StoreAnswer.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      return StoreAnswer.newBuilder().setUnknown("malformed response").build();
    }
  }

  /**
   * Makes a call directly or, during an outage, through a peer first. If the first attempt was
   * definitely not applied, makes the call the other way.
   */
  private <T> CompletableFuture<T> callWithFallback(
      Function<TransactionalStore, CompletableFuture<T>> directCall,
      Predicate<T> isNotApplied,
      StoreCall call,
      Function<StoreAnswer, T> decoder) {
    Supplier<CompletableFuture<T>> directAttempt = () -> directCall.apply(direct);
    Supplier<CompletableFuture<T>> relayedAttempt =
        () -> relay(call, RELAY_TIMEOUT).thenApply(decoder);
    return monitor.isUnavailable()
        ? orElse(relayedAttempt, isNotApplied, directAttempt)
        : orElse(directAttempt, isNotApplied, relayedAttempt);
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

  /**
   * Renews a lease. Renewals are idempotent, so the direct call is also sent during an outage,
   * where its outcome shows the monitor when the store has recovered.
   */
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
