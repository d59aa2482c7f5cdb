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
 * workspace waits for itself ({@link WorkShare}). Owners keep the slots that they hold as long as
 * they are entitled to as many, so that runs follow one another without a message.
 *
 * <p>The result depends only on the arguments.
 */
final class SlotDivision {
  private final Map<ServerKey, OfferedServer> servers = new HashMap<>();

  /** The slots that are not given yet. */
  private final Map<ServerKey, Integer> free = new HashMap<>();

  /** The free slots that no owner holds. */
  private final Map<ServerKey, Integer> unheld = new HashMap<>();

  /** The slots that each owner holds and that it has not been given yet. */
  private final Map<EntryVmId, Map<ServerKey, Integer>> held = new HashMap<>();

  private final Map<EntryVmId, Map<ServerKey, Integer>> given = new HashMap<>();
  private final Map<String, Integer> slotsOfSharer = new HashMap<>();
  private final Map<String, Double> weightOfSharer = new HashMap<>();

  private SlotDivision() {}

  /** A demand that is not met yet. */
  private static final class Claim {
    private final EntryVmId owner;
    private final SlotDemand demand;
    private final double weight;
    private int slots;
    private int missing;

    private Claim(EntryVmId owner, SlotDemand demand) {
      this.owner = owner;
      this.demand = demand;
      this.weight = WorkShare.weight(demand.priority(), demand.isLate());
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
      Claim claim = new Claim(owner, demand);
      claims.add(claim);
      weightOfSharer.merge(demand.sharer(), claim.weight, Math::max);
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

  /** Returns the claim that the next slot is for. */
  private Claim next(List<Claim> open) {
    Claim best = open.get(0);
    WorkShare bestShare = share(best);
    for (Claim claim : open) {
      WorkShare share = share(claim);
      if (share.compareTo(bestShare) < 0) {
        best = claim;
        bestShare = share;
      }
    }
    return best;
  }

  private WorkShare share(Claim claim) {
    String sharer = claim.demand.sharer();
    return new WorkShare(
        slotsOfSharer.getOrDefault(sharer, 0),
        weightOfSharer.get(sharer),
        claim.slots,
        claim.weight);
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
    claim.slots++;
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
