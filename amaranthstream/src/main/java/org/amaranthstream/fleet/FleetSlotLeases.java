package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.slots.LeasedSlots;
import org.amaranthstream.slots.SlotDemand;
import org.amaranthstream.slots.SlotLease;
import org.amaranthstream.slots.SlotLeases;
import org.amaranthstream.slots.SlotRequest;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Leases of slots that this daemon requests from the coordinator, one message at a time and a few
 * times a second while it runs or waits for items.
 *
 * <p>Must be used on the thread of its timers.
 */
public final class FleetSlotLeases implements SlotLeases {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INTERVAL = Duration.ofMillis(200);
  private static final Duration TIMEOUT = Duration.ofMillis(800);

  private final EntryVmId self;
  private final ServerDirectory directory;
  private final TimerService timers;
  private final PeerQuery peers;
  private final SlotCoordinator coordinator;
  private final LeasedSlots leases;
  private ImmutableList<SlotDemand> demands = ImmutableList.of();
  private Runnable onChanged = () -> {};

  /** True from the first message until no slot is used or wanted. */
  private boolean isActive;

  /** The number of the last message; answers to earlier ones are ignored. */
  private long lastMessage;

  private boolean isWaitingForAnswer;
  private @Nullable Subscription interval;
  private boolean wasCoordinated = true;

  private FleetSlotLeases(
      EntryVmId self,
      ServerDirectory directory,
      TimerService timers,
      PeerQuery peers,
      SlotCoordinator coordinator) {
    this.self = self;
    this.directory = directory;
    this.timers = timers;
    this.peers = peers;
    this.coordinator = coordinator;
    this.leases = LeasedSlots.startingAt(timers.nowNanos());
  }

  /**
   * Returns the leases of the daemon on {@code self}.
   *
   * @param coordinator the coordinator of all daemons, whose messages to itself need no link
   */
  public static FleetSlotLeases create(
      EntryVmId self,
      ServerDirectory directory,
      TimerService timers,
      PeerQuery peers,
      SlotCoordinator coordinator) {
    return new FleetSlotLeases(
        checkNotNull(self, "self"),
        checkNotNull(directory, "directory"),
        checkNotNull(timers, "timers"),
        checkNotNull(peers, "peers"),
        checkNotNull(coordinator, "coordinator"));
  }

  @Override
  public void setListener(Runnable onChanged) {
    this.onChanged = checkNotNull(onChanged, "onChanged");
  }

  @Override
  public boolean mayStart(TrackedServer server) {
    return leases.mayStart(server, timers.nowNanos());
  }

  @Override
  public void onRejected(TrackedServer server) {
    leases.onRejected(server);
  }

  @Override
  public void setDemand(ImmutableList<SlotDemand> demands) {
    this.demands = demands;
    boolean isWaiting = demands.stream().anyMatch(demand -> demand.waiting() > 0);
    if (!isActive && isWaiting) {
      exchange();
    }
  }

  /** Sends the next message, unless nothing is used or wanted any more. */
  private void exchange() {
    long now = timers.nowNanos();
    SlotRequest request = new SlotRequest(demands, leases.uses(directory.all(), now));
    isActive = !request.isEmpty();
    leases.onRequested(now);
    waitInterval();
    Optional<EntryVmId> target = coordinator.vm();
    if (target.isEmpty()) {
      onUnreachable("no daemon holds the lease of the coordinator");
      return;
    }
    lastMessage++;
    long message = lastMessage;
    isWaitingForAnswer = true;
    send(target.get(), request)
        .thenAccept(
            result -> {
              if (message == lastMessage) {
                isWaitingForAnswer = false;
                onAnswer(result, now);
              }
            });
  }

  private void waitInterval() {
    if (interval != null) {
      interval.cancel();
    }
    interval = timers.after(INTERVAL, this::onInterval);
  }

  private void onInterval() {
    if (isWaitingForAnswer) {
      waitInterval();
    } else if (isActive) {
      exchange();
    }
  }

  private CompletableFuture<Result<byte[]>> send(EntryVmId target, SlotRequest request) {
    byte[] body = SlotLeaseCodec.encodeRequest(request);
    return target.equals(self)
        ? coordinator.handle(self, body)
        : peers.query(target, QueryKind.SLOT_LEASES, body, TIMEOUT);
  }

  private void onAnswer(Result<byte[]> result, long sentNanos) {
    if (result instanceof Result.Failure<byte[]> failure) {
      onUnreachable(failure.error().toString());
      return;
    }
    try {
      SlotLeaseCodec.Leases granted =
          SlotLeaseCodec.decodeLeases(((Result.Success<byte[]>) result).value());
      leases.onLeases(granted.leases(), sentNanos + granted.validity().toNanos());
      logGranted(granted.leases());
      logCoordinated(true, "");
      onChanged.run();
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      onUnreachable("malformed answer: " + e);
    }
  }

  private void logGranted(ImmutableList<SlotLease> granted) {
    int slots = granted.stream().mapToInt(SlotLease::slots).sum();
    int waiting = demands.stream().mapToInt(SlotDemand::waiting).sum();
    logger.atFine().log(
        "event=slots_leased slots=%d servers=%d waiting=%d", slots, granted.size(), waiting);
  }

  private void onUnreachable(String reason) {
    leases.onUnreachable();
    if (!leases.isCoordinated(timers.nowNanos())) {
      logCoordinated(false, reason);
      onChanged.run();
    }
  }

  private void logCoordinated(boolean isCoordinated, String reason) {
    if (isCoordinated != wasCoordinated) {
      wasCoordinated = isCoordinated;
      logger.atInfo().log("event=slots_shared shared=%s reason=\"%s\"", isCoordinated, reason);
    }
  }
}
