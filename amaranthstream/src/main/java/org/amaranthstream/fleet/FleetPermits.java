package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.fleet.wire.PermitCall;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.RendezvousHash;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.servers.RequestPacer;
import org.amaranthstream.servers.RequestPermits;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Permits that the daemons share for each rate-limited server.
 *
 * <p>Rendezvous hashing names one daemon for each server, its coordinator, which paces the requests
 * of all daemons, so that a daemon without requests takes no share. While the coordinator cannot be
 * reached, each daemon paces its own requests at a fixed share of the limit. Must be used on the
 * thread of its timers.
 */
public final class FleetPermits implements RequestPermits, FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_PACERS = 4_096;

  /** The unused requests to a server that are saved up; fewer than what servers tolerate. */
  private static final int BURST = 3;

  /** Allows for the round trip to the daemon that paces the server. */
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(300);

  /**
   * The coordinator may still use the whole limit, so the other daemons together use half of it
   * while they cannot reach it.
   */
  private static final int OWN_SHARE_DIVISOR = 2;

  private final EntryVmId self;
  private final Fleet fleet;
  private final TimerService timers;
  private final PeerQuery peers;
  private final Map<BackendServerId, RequestPacer> pacers = newPacers();
  private final Map<BackendServerId, RequestPacer> ownPacers = newPacers();
  private final Map<BackendServerId, EntryVmId> coordinators = new HashMap<>();

  private FleetPermits(EntryVmId self, Fleet fleet, TimerService timers, PeerQuery peers) {
    this.self = self;
    this.fleet = fleet;
    this.timers = timers;
    this.peers = peers;
  }

  private static Map<BackendServerId, RequestPacer> newPacers() {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<BackendServerId, RequestPacer> eldest) {
        return size() > MAX_PACERS;
      }
    };
  }

  /** Returns the permits of the daemon on {@code self}. */
  public static FleetPermits create(
      EntryVmId self, Fleet fleet, TimerService timers, PeerQuery peers) {
    FleetPermits permits =
        new FleetPermits(
            checkNotNull(self, "self"),
            checkNotNull(fleet, "fleet"),
            checkNotNull(timers, "timers"),
            checkNotNull(peers, "peers"));
    fleet.addListener(permits);
    return permits;
  }

  /** Registers the handler of the calls of other daemons. */
  public void serve(FleetLinks links) {
    links.register(QueryKind.PERMIT, (LocalVm from, byte[] body, Duration timeout) -> handle(body));
  }

  @Override
  public void onNodesChanged(NodesChange change) {
    coordinators.clear();
  }

  private EntryVmId coordinatorOf(BackendServerId server) {
    return coordinators.computeIfAbsent(server, this::chooseCoordinator);
  }

  private EntryVmId chooseCoordinator(BackendServerId server) {
    ImmutableList<EntryVmId> all =
        fleet.nodes().stream().map(FleetNode::vm).collect(ImmutableList.toImmutableList());
    return Iterables.getFirst(RendezvousHash.order(server.value(), all), self);
  }

  @Override
  public void acquire(TrackedServer server, Duration patience, Consumer<Boolean> listener) {
    Duration interval = server.requestInterval();
    EntryVmId coordinator = coordinatorOf(server.id());
    if (coordinator.equals(self)) {
      reserve(pacers, BURST, server.id(), interval, patience)
          .ifPresentOrElse(
              wait -> timers.after(wait, () -> listener.accept(true)),
              () -> listener.accept(false));
      return;
    }
    byte[] call =
        PermitCall.newBuilder()
            .setServer(server.id().value())
            .setIntervalMicros(interval.toNanos() / 1_000)
            .setPatienceMs(patience.toMillis())
            .build()
            .toByteArray();
    peers
        .query(coordinator, QueryKind.PERMIT, call, patience.plus(RESPONSE_MARGIN))
        .thenAccept(result -> onAnswer(server, interval, patience, result, listener));
  }

  private void onAnswer(
      TrackedServer server,
      Duration interval,
      Duration patience,
      Result<byte[]> result,
      Consumer<Boolean> listener) {
    if (result instanceof Result.Success) {
      listener.accept(true);
      return;
    }
    ResultCode code = ((Result.Failure<byte[]>) result).error().code();
    if (code == ResultCode.NOT_RUN_OVERLOADED) {
      listener.accept(false);
      return;
    }
    logger.atFine().log("event=permit_coordinator_lost server=%s code=%s", server.id(), code);
    Duration ownInterval = interval.multipliedBy(OWN_SHARE_DIVISOR * fleet.nodes().size());
    reserve(ownPacers, 0, server.id(), ownInterval, patience)
        .ifPresentOrElse(
            wait -> timers.after(wait, () -> listener.accept(true)), () -> listener.accept(false));
  }

  private Optional<Duration> reserve(
      Map<BackendServerId, RequestPacer> from,
      int burst,
      BackendServerId server,
      Duration interval,
      Duration patience) {
    long now = timers.nowNanos();
    return from.computeIfAbsent(server, unused -> RequestPacer.startingAt(now, burst))
        .reserve(interval, patience, now);
  }

  /** Handles an encoded call of another daemon. */
  CompletableFuture<Result<byte[]>> handle(byte[] body) {
    CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
    try {
      PermitCall call = PermitCall.parseFrom(body);
      Duration interval = Duration.ofNanos(call.getIntervalMicros() * 1_000);
      Duration patience = Duration.ofMillis(call.getPatienceMs());
      reserve(pacers, BURST, BackendServerId.of(call.getServer()), interval, patience)
          .ifPresentOrElse(
              wait -> timers.after(wait, () -> answer.complete(Result.success(new byte[0]))),
              () -> answer.complete(denied()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      answer.complete(Result.failure(ResultCode.INVALID_REQUEST, "malformed permit call: " + e));
    }
    return answer;
  }

  private static Result<byte[]> denied() {
    return Result.failure(ResultCode.NOT_RUN_OVERLOADED, "the server's limit is used up");
  }
}
