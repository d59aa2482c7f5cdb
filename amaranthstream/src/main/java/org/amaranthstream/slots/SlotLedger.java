package org.amaranthstream.slots;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthstream.ids.EntryVmId;

/**
 * Record of the leases that the coordinator has granted.
 *
 * <p>A slot passes from one owner to another only once the first has confirmed in a message that it
 * no longer uses it, or its lease has ended. A new coordinator grants only what owners state that
 * they hold until the leases of its predecessor have been stated or have ended.
 *
 * <p>No I/O; not thread safe. Callers pass times as monotonic nanoseconds.
 */
public final class SlotLedger {
  /** The time for which a lease is valid after the message that requested it was sent. */
  public static final Duration VALIDITY = Duration.ofMillis(2_000);

  /** Allows each owner that reaches the coordinator to state what it holds, at least once. */
  private static final Duration LEARNING_TIME = Duration.ofMillis(600);

  private final long learnUntilNanos;
  private final Map<EntryVmId, Owner> owners = new LinkedHashMap<>();

  /** What is known of one owner. */
  private static final class Owner {
    private final SlotRequest request;
    private final Map<ServerKey, Integer> granted = new HashMap<>();
    private final long endNanos;

    private Owner(SlotRequest request, long endNanos) {
      this.request = request;
      this.endNanos = endNanos;
      request.uses().forEach(use -> granted.merge(use.server(), use.held(), Math::max));
    }
  }

  private SlotLedger(long learnUntilNanos) {
    this.learnUntilNanos = learnUntilNanos;
  }

  /** Returns the ledger of a daemon that becomes the coordinator now. */
  public static SlotLedger startingAt(long nowNanos) {
    return new SlotLedger(nowNanos + LEARNING_TIME.toNanos());
  }

  /** Returns the leases of {@code owner}, which replace those that it had. */
  public ImmutableList<SlotLease> handle(
      EntryVmId owner, SlotRequest request, Collection<OfferedServer> servers, long nowNanos) {
    owners.values().removeIf(known -> known.endNanos <= nowNanos);
    if (request.isEmpty()) {
      owners.remove(owner);
      return ImmutableList.of();
    }
    Owner known = new Owner(request, nowNanos + VALIDITY.toNanos());
    owners.put(owner, known);
    if (nowNanos < learnUntilNanos) {
      return stated(request);
    }
    Map<EntryVmId, SlotRequest> requests = new LinkedHashMap<>();
    owners.forEach((vm, each) -> requests.put(vm, each.request));
    Map<ServerKey, Integer> entitled = SlotDivision.divide(servers, requests).get(owner);
    ImmutableList.Builder<SlotLease> leases = ImmutableList.builder();
    for (OfferedServer server : servers) {
      int wanted = entitled.getOrDefault(server.key(), 0);
      int slots = Math.min(wanted, server.slots() - grantedToOthers(owner, server.key()));
      if (slots > 0) {
        leases.add(new SlotLease(server.key(), slots));
        known.granted.merge(server.key(), slots, Math::max);
      }
    }
    return leases.build();
  }

  private static ImmutableList<SlotLease> stated(SlotRequest request) {
    return request.uses().stream()
        .filter(use -> use.leased() > 0)
        .map(use -> new SlotLease(use.server(), use.leased()))
        .collect(ImmutableList.toImmutableList());
  }

  private int grantedToOthers(EntryVmId owner, ServerKey server) {
    int granted = 0;
    for (Map.Entry<EntryVmId, Owner> entry : owners.entrySet()) {
      if (!entry.getKey().equals(owner)) {
        granted += entry.getValue().granted.getOrDefault(server, 0);
      }
    }
    return granted;
  }

  /** Returns the number of owners with unexpired leases. */
  public int ownerCount() {
    return owners.size();
  }
}
