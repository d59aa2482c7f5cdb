package org.amaranthstream.slots;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;

/**
 * Division of the slots of servers among the owners that use or want them.
 *
 * <p>Made for a few owners with many more items than slots, of which a heavy workspace has most.
 * Slots are given one at a time to the workspace that has the fewest for its weight, so a heavy
 * workspace waits for itself. Urgent work has a greater weight and late work a smaller one, between
 * which the weights differ by a factor of 4 at most: nothing is served less than a quarter as often
 * as anything else. Owners keep the slots that they hold as long as they are entitled to as many,
 * so that runs follow one another without a message.
 *
 * <p>The result depends only on the arguments.
 */
final class SlotDivision {
  private static final double MIN_WEIGHT = 0.25;

  private final Map<ServerKey, OfferedServer> servers = new HashMap<>();

  /** The slots that are not given yet. */
  private final Map<ServerKey, Integer> free = new HashMap<>();

  /** The free slots that no owner holds. */
  private final Map<ServerKey, Integer> unheld = new HashMap<>();

  /** The slots that each owner holds and that it has not been given yet. */
  private final Map<EntryVmId, Map<ServerKey, Integer>> held = new HashMap<>();

  private final Map<EntryVmId, Map<ServerKey, Integer>> given = new HashMap<>();
  private final Map<String, Integer> slotsOfSharer = new HashMap<>();

  private SlotDivision() {}

  /** A demand that is not met yet. */
  private static final class Claim {
    private final EntryVmId owner;
    private final SlotDemand demand;
    private final double weight;
    private int missing;

    private Claim(EntryVmId owner, SlotDemand demand) {
      this.owner = owner;
      this.demand = demand;
      double weight = 1.0 / (1 + Math.max(0, demand.priority()));
      this.weight = Math.max(MIN_WEIGHT, demand.isLate() ? MIN_WEIGHT : weight);
      this.missing = demand.wanted();
    }
  }

  /** Returns the number of slots of each server to which each owner is entitled. */
  static Map<EntryVmId, Map<ServerKey, Integer>> divide(
      Collection<OfferedServer> servers, Map<EntryVmId, SlotRequest> requests) {
    SlotDivision division = new SlotDivision();
    for (OfferedServer server : servers) {
      division.servers.put(server.key(), server);
      division.free.put(server.key(), server.slots());
      division.unheld.put(server.key(), server.slots());
    }
    List<Claim> claims = new ArrayList<>();
    requests.forEach((owner, request) -> division.add(owner, request, claims));
    division.giveAll(claims);
    return division.given;
  }

  private void add(EntryVmId owner, SlotRequest request, List<Claim> claims) {
    Map<ServerKey, Integer> heldByOwner = new HashMap<>();
    for (SlotUse use : request.uses()) {
      heldByOwner.merge(use.server(), use.held(), Integer::sum);
      unheld.computeIfPresent(use.server(), (key, slots) -> slots - use.held());
    }
    held.put(owner, heldByOwner);
    given.put(owner, new HashMap<>());
    for (SlotDemand demand : request.demands()) {
      claims.add(new Claim(owner, demand));
    }
  }

  private void giveAll(List<Claim> claims) {
    List<Claim> open = new ArrayList<>(claims);
    open.removeIf(claim -> claim.missing == 0);
    while (!open.isEmpty()) {
      Claim claim = next(open);
      Optional<ServerKey> server = choose(claim);
      if (server.isEmpty()) {
        open.remove(claim);
        continue;
      }
      give(claim, server.get());
      if (claim.missing == 0) {
        open.remove(claim);
      }
    }
  }

  /** Returns the claim of the sharer that has the fewest slots for its weight. */
  private Claim next(List<Claim> open) {
    Claim best = open.get(0);
    for (Claim claim : open) {
      if (cost(claim) < cost(best)) {
        best = claim;
      }
    }
    return best;
  }

  private double cost(Claim claim) {
    return (slotsOfSharer.getOrDefault(claim.demand.sharer(), 0) + 1) / claim.weight;
  }

  /**
   * Returns the server whose slot costs the others least: one that the owner holds, then one that
   * nobody holds, then one that another owner has to release.
   */
  private Optional<ServerKey> choose(Claim claim) {
    Map<ServerKey, Integer> own = held.get(claim.owner);
    ServerKey best = null;
    double bestRank = 0;
    for (OfferedServer server : servers.values()) {
      int slots = free.get(server.key());
      if (slots <= 0 || !server.serves(claim.demand)) {
        continue;
      }
      double share = (double) slots / server.slots();
      double unheldShare = (double) unheld.get(server.key()) / server.slots();
      double rank =
          own.getOrDefault(server.key(), 0) > 0
              ? 4 + share
              : unheldShare > 0 ? 2 + unheldShare : share;
      if (rank > bestRank) {
        best = server.key();
        bestRank = rank;
      }
    }
    return Optional.ofNullable(best);
  }

  private void give(Claim claim, ServerKey server) {
    claim.missing--;
    slotsOfSharer.merge(claim.demand.sharer(), 1, Integer::sum);
    free.merge(server, -1, Integer::sum);
    given.get(claim.owner).merge(server, 1, Integer::sum);
    Map<ServerKey, Integer> own = held.get(claim.owner);
    if (own.getOrDefault(server, 0) > 0) {
      own.merge(server, -1, Integer::sum);
    } else {
      unheld.merge(server, -1, Integer::sum);
    }
  }
}
