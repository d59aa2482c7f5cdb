package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.slots.LoadingEngines;
import org.amaranthstream.slots.OfferedServer;
import org.amaranthstream.slots.ServerKey;
import org.amaranthstream.slots.SlotLedger;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Coordinator of the slots of all servers: the holder of a leader lease, which also orders engines
 * to load weights and therefore knows which of them start no requests.
 *
 * <p>Must be used on the thread of its timers.
 */
public final class SlotCoordinator implements FleetListener {
  private final String leaderLease;
  private final Fleet fleet;
  private final ServerDirectory directory;
  private final LoadingEngines loading;
  private final TimerService timers;
  private final EntryVmId self;
  private @Nullable SlotLedger ledger;

  private SlotCoordinator(
      EntryVmId self,
      String leaderLease,
      Fleet fleet,
      ServerDirectory directory,
      LoadingEngines loading,
      TimerService timers) {
    this.self = self;
    this.leaderLease = leaderLease;
    this.fleet = fleet;
    this.directory = directory;
    this.loading = loading;
    this.timers = timers;
  }

  /**
   * Returns the coordinator of the daemon on {@code self}, which answers while it holds {@code
   * leaderLease}.
   */
  public static SlotCoordinator create(
      EntryVmId self,
      String leaderLease,
      Fleet fleet,
      ServerDirectory directory,
      LoadingEngines loading,
      TimerService timers) {
    SlotCoordinator coordinator =
        new SlotCoordinator(
            checkNotNull(self, "self"),
            checkNotNull(leaderLease, "leaderLease"),
            checkNotNull(fleet, "fleet"),
            checkNotNull(directory, "directory"),
            checkNotNull(loading, "loading"),
            checkNotNull(timers, "timers"));
    fleet.addListener(coordinator);
    return coordinator;
  }

  /** Begins with an empty ledger at the start of each term of this daemon. */
  @Override
  public void onLeaderChanged(String changed) {
    if (changed.equals(leaderLease)) {
      ledger = isCoordinator() ? ledger() : null;
    }
  }

  private boolean isCoordinator() {
    return vm().equals(Optional.of(self));
  }

  /** Registers the handler of the calls of other daemons. */
  public void serve(FleetLinks links) {
    links.register(
        QueryKind.SLOT_LEASES,
        (LocalVm from, byte[] body, Duration timeout) -> handle(from.id(), body));
  }

  /** Returns the VM of the coordinator, empty while nobody holds the leader lease. */
  Optional<EntryVmId> vm() {
    return fleet
        .leaseHolder(leaderLease)
        .map(entry -> new String(entry.value(), StandardCharsets.UTF_8))
        .map(holder -> EntryVmId.of(Splitter.on('/').splitToList(holder).get(0)));
  }

  /** Handles the encoded call of the daemon on {@code from}. */
  CompletableFuture<Result<byte[]>> handle(EntryVmId from, byte[] body) {
    if (!isCoordinator()) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.PEER_UNREACHABLE, "this daemon is not the coordinator"));
    }
    try {
      byte[] answer =
          SlotLeaseCodec.encodeLeases(
              new SlotLeaseCodec.Leases(
                  ledger()
                      .handle(
                          from, SlotLeaseCodec.decodeRequest(body), offered(), timers.nowNanos()),
                  SlotLedger.VALIDITY));
      return CompletableFuture.completedFuture(Result.success(answer));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.INVALID_REQUEST, "malformed slot call: " + e));
    }
  }

  private SlotLedger ledger() {
    if (ledger == null) {
      ledger = SlotLedger.startingAt(timers.nowNanos());
    }
    return ledger;
  }

  private ImmutableList<OfferedServer> offered() {
    return directory.all().stream()
        .filter(server -> server.isAvailable() && !server.isAvoided(timers.nowNanos()))
        .map(this::offered)
        .collect(ImmutableList.toImmutableList());
  }

  private OfferedServer offered(TrackedServer server) {
    return new OfferedServer(
        ServerKey.of(server),
        server.registration().service(),
        server.registration().slots(),
        server.versions(),
        loading.modelsOf(server));
  }
}
