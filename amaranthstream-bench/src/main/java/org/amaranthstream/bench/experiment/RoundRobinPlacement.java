package org.amaranthstream.bench.experiment;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.placement.Locality;
import org.amaranthstream.placement.PlacementDecision;
import org.amaranthstream.placement.PlacementPolicy;

/** The next server of the own zone with room, or else the next zone with room. One thread. */
final class RoundRobinPlacement implements PlacementPolicy {
  private int turn;

  @Override
  public PlacementDecision place(
      Optional<AffinityKey> affinity, ImmutableList<Candidate> candidates) {
    List<Candidate> withRoom = candidates.stream().filter(Candidate::hasRoom).toList();
    List<Candidate> near =
        withRoom.stream().filter(c -> c.locality() == Locality.SAME_ZONE).toList();
    List<Candidate> among = near.isEmpty() ? withRoom : near;
    if (among.isEmpty()) {
      return new PlacementDecision.NoRoom("no candidate has room");
    }
    turn = (turn + 1) % Integer.MAX_VALUE;
    return new PlacementDecision.Place(among.get(turn % among.size()), "round robin");
  }
}
