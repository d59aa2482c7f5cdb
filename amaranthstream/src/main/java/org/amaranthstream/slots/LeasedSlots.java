package org.amaranthstream.slots;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.amaranthstream.servers.TrackedServer;

/**
 * Leases that this daemon holds. While it holds none because the coordinator does not answer, each
 * slot may be used that this daemon does not use itself.
 *
 * <p>No I/O; not thread safe. Callers pass times as monotonic nanoseconds.
 */
public final class LeasedSlots {
  /** The time for which requests wait for a first answer before they start without leases. */
  private static final Duration PATIENCE = Duration.ofMillis(300);

  private final Map<ServerKey, Integer> leases = new HashMap<>();
  private final Set<ServerKey> rejecting = new HashSet<>();
  private long endNanos;
  private long waitUntilNanos = Long.MAX_VALUE;
  private boolean isUnreachable;

  private LeasedSlots(long nowNanos) {
    this.endNanos = nowNanos;
  }

  /** Returns leases of a daemon that holds none. */
  public static LeasedSlots startingAt(long nowNanos) {
    return new LeasedSlots(nowNanos);
  }

  /** Returns true if leases decide what may start, false if the coordinator does not answer. */
  public boolean isCoordinated(long nowNanos) {
    return nowNanos < endNanos || (!isUnreachable && nowNanos < waitUntilNanos);
  }

  /** Returns true if a request to {@code server} may start. */
  public boolean mayStart(TrackedServer server, long nowNanos) {
    if (!isCoordinated(nowNanos)) {
      return true;
    }
    ServerKey key = ServerKey.of(server);
    return !rejecting.contains(key) && server.inFlight() < leased(key, nowNanos);
  }

  private int leased(ServerKey key, long nowNanos) {
    return nowNanos < endNanos ? leases.getOrDefault(key, 0) : 0;
  }

  /** Records that {@code server} rejected a request; it is not used before the next leases. */
  public void onRejected(TrackedServer server) {
    rejecting.add(ServerKey.of(server));
  }

  /** Records that a request is sent to the coordinator. */
  public void onRequested(long nowNanos) {
    if (waitUntilNanos == Long.MAX_VALUE) {
      waitUntilNanos = Math.max(nowNanos, endNanos) + PATIENCE.toNanos();
    }
  }

  /** Records that the coordinator did not answer. Leases stay valid until they end. */
  public void onUnreachable() {
    isUnreachable = true;
  }

  /** Replaces the leases. */
  public void onLeases(ImmutableList<SlotLease> granted, long endNanos) {
    leases.clear();
    rejecting.clear();
    granted.forEach(lease -> leases.put(lease.server(), lease.slots()));
    this.endNanos = endNanos;
    waitUntilNanos = Long.MAX_VALUE;
    isUnreachable = false;
  }

  /** Returns the use of {@code servers}: those with requests in flight or leases. */
  public ImmutableList<SlotUse> uses(Collection<TrackedServer> servers, long nowNanos) {
    ImmutableList.Builder<SlotUse> uses = ImmutableList.builder();
    for (TrackedServer server : servers) {
      ServerKey key = ServerKey.of(server);
      int leased = leased(key, nowNanos);
      if (server.inFlight() > 0 || leased > 0) {
        uses.add(new SlotUse(key, server.inFlight(), leased));
      }
    }
    return uses.build();
  }
}
