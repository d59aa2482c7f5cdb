package org.amaranthstream.membership;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;

/**
 * Tracker of one entry VM's reachability, based on its heartbeats. An unreachable entry VM becomes
 * reachable again only after several timely heartbeats; this hysteresis prevents the state from
 * changing with each heartbeat on a link that loses every other one. A new incarnation is reachable
 * at once.
 *
 * <p>Not thread safe.
 */
final class HeartbeatTracker {
  private static final int MAX_SUPERSEDED_INCARNATIONS = 8;

  private final long suspectNanos;
  private final long unreachableNanos;
  private final int heartbeatsToRecover;
  private final Deque<Incarnation> superseded = new ArrayDeque<>();
  private LocalVm identity;
  private long lastNanos;
  private int consecutiveTimely;
  private Reachability reachability = Reachability.UNKNOWN;
  private VmPhase phase = VmPhase.READY;
  private Optional<Duration> lastReceivedAge = Optional.empty();
  private ImmutableMap<PoolId, Integer> waiting = ImmutableMap.of();

  HeartbeatTracker(MembershipSettings settings) {
    this.suspectNanos = settings.suspectAfter().toNanos();
    this.unreachableNanos = settings.unreachableAfter().toNanos();
    this.heartbeatsToRecover = settings.heartbeatsToRecover();
  }

  /**
   * Applies a heartbeat. Ignores one from a superseded incarnation. An incarnation that is leaving
   * stays leaving, also if a later heartbeat says otherwise.
   */
  void onHeartbeat(PeerHeartbeat heartbeat, long nowNanos) {
    if (isSuperseded(heartbeat.from().incarnation(), nowNanos)) {
      return;
    }
    boolean sameIncarnation = identity != null && isCurrent(heartbeat.from().incarnation());
    if (identity != null && !sameIncarnation) {
      supersede(identity.incarnation());
    }
    tick(nowNanos);
    if (sameIncarnation) {
      reachability = reachabilityAfterGap(nowNanos - lastNanos);
      phase = phase == VmPhase.LEAVING ? VmPhase.LEAVING : heartbeat.phase();
    } else {
      reachability = Reachability.REACHABLE;
      phase = heartbeat.phase();
    }
    identity = heartbeat.from();
    lastNanos = nowNanos;
    lastReceivedAge = heartbeat.lastReceivedAge();
    waiting = heartbeat.waiting();
  }

  private boolean isCurrent(Incarnation incarnation) {
    return identity.incarnation().equals(incarnation);
  }

  /**
   * Returns true if another incarnation has replaced {@code incarnation} and has sent a heartbeat
   * within the unreachable timeout.
   */
  private boolean isSuperseded(Incarnation incarnation, long nowNanos) {
    return superseded.contains(incarnation) && nowNanos - lastNanos < unreachableNanos;
  }

  private void supersede(Incarnation incarnation) {
    superseded.remove(incarnation);
    superseded.addLast(incarnation);
    if (superseded.size() > MAX_SUPERSEDED_INCARNATIONS) {
      superseded.removeFirst();
    }
  }

  private Reachability reachabilityAfterGap(long gapNanos) {
    if (reachability != Reachability.UNREACHABLE) {
      return Reachability.REACHABLE;
    }
    consecutiveTimely = gapNanos <= suspectNanos ? consecutiveTimely + 1 : 1;
    return consecutiveTimely >= heartbeatsToRecover
        ? Reachability.REACHABLE
        : Reachability.UNREACHABLE;
  }

  /** Applies the suspect and unreachable timeouts. */
  void tick(long nowNanos) {
    if (identity == null) {
      return;
    }
    long age = nowNanos - lastNanos;
    if (age >= unreachableNanos) {
      reachability = Reachability.UNREACHABLE;
      consecutiveTimely = 0;
    } else if (age >= suspectNanos && reachability == Reachability.REACHABLE) {
      reachability = Reachability.SUSPECT;
    }
  }

  /** Returns the sender of the last heartbeat, null before the first. */
  LocalVm identity() {
    return identity;
  }

  Reachability reachability() {
    return reachability;
  }

  VmPhase phase() {
    return phase;
  }

  /**
   * Returns true if the entry VM says that it recently received a heartbeat of the local daemon.
   */
  boolean receivesLocalHeartbeats() {
    return lastReceivedAge.isPresent() && lastReceivedAge.get().toNanos() < unreachableNanos;
  }

  /** Returns the time since the last heartbeat. */
  Duration age(long nowNanos) {
    return Duration.ofNanos(Math.max(0, nowNanos - lastNanos));
  }

  /** Returns the number of requests for {@code pool} queued in the entry VM. */
  int waiting(PoolId pool) {
    return waiting.getOrDefault(pool, 0);
  }
}
