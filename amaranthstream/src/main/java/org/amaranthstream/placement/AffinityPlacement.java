package org.amaranthstream.placement;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthstream.ids.AffinityKey;

/**
 * Placement policy that takes the nearest candidates with capacity. Among these it chooses by
 * affinity within a load bound, or else the less loaded of two random candidates.
 *
 * <p>Requests with the same affinity key go to the server with the highest rendezvous hash score
 * whose utilization is at most {@code bound} times the mean utilization (consistent hashing with
 * bounded loads). Not thread safe, because of the random source.
 */
public final class AffinityPlacement implements PlacementPolicy {
  private static final double DEFAULT_BOUND = 1.25;
  private static final HashFunction HASH = Hashing.murmur3_128();

  private final RandomGenerator random;
  private final double bound;

  private AffinityPlacement(RandomGenerator random, double bound) {
    this.random = random;
    this.bound = bound;
  }

  /** Returns a policy that lets a server exceed the mean utilization by a quarter. */
  public static AffinityPlacement create(RandomGenerator random) {
    return withBound(random, DEFAULT_BOUND);
  }

  /**
   * Returns a policy with the given bound.
   *
   * @param bound maximum utilization of a server relative to the mean utilization, at least 1
   */
  public static AffinityPlacement withBound(RandomGenerator random, double bound) {
    checkArgument(bound >= 1, "bound is less than 1: %s", bound);
    return new AffinityPlacement(random, bound);
  }

  @Override
  public PlacementDecision place(
      Optional<AffinityKey> affinity, ImmutableList<Candidate> candidates) {
    for (Locality locality : Locality.values()) {
      ImmutableList<Candidate> available =
          candidates.stream()
              .filter(c -> c.locality() == locality && c.hasCapacity())
              .collect(ImmutableList.toImmutableList());
      if (!available.isEmpty()) {
        return choose(affinity, available, locality);
      }
    }
    return new PlacementDecision.NoCapacity("all " + candidates.size() + " candidates are full");
  }

  private PlacementDecision choose(
      Optional<AffinityKey> affinity, ImmutableList<Candidate> available, Locality locality) {
    if (available.size() == 1) {
      return placeAt(available.get(0), "the only candidate with capacity, " + locality);
    }
    if (affinity.isPresent()) {
      return chooseByAffinity(affinity.get(), available);
    }
    return chooseOfTwo(available);
  }

  private PlacementDecision chooseOfTwo(ImmutableList<Candidate> available) {
    int i = random.nextInt(available.size());
    int j = random.nextInt(available.size() - 1);
    Candidate first = available.get(i);
    Candidate second = available.get(j < i ? j : j + 1);
    Candidate lessLoaded = share(second) < share(first) ? second : first;
    Candidate moreLoaded = lessLoaded == first ? second : first;
    return placeAt(
        lessLoaded,
        String.format(
            "load %d/%d against %d/%d",
            lessLoaded.load(), lessLoaded.limit(), moreLoaded.load(), moreLoaded.limit()));
  }

  private PlacementDecision chooseByAffinity(AffinityKey key, ImmutableList<Candidate> available) {
    double mean = available.stream().mapToDouble(AffinityPlacement::share).average().orElseThrow();
    Candidate best = null;
    long bestScore = 0;
    int overBound = 0;
    for (Candidate candidate : available) {
      if (!isWithinBound(candidate, mean)) {
        overBound++;
        continue;
      }
      long score = score(key, candidate);
      if (best == null || score > bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    if (best == null) {
      return chooseOfTwo(available);
    }
    return placeAt(
        best,
        String.format(
            "affinity, load %d/%d, %d passed over as above the bound",
            best.load(), best.limit(), overBound));
  }

  private boolean isWithinBound(Candidate candidate, double meanShare) {
    double allowed = Math.ceil(bound * meanShare * candidate.limit());
    return candidate.load() <= Math.max(1, allowed);
  }

  private static double share(Candidate candidate) {
    return (double) candidate.load() / candidate.limit();
  }

  private static long score(AffinityKey key, Candidate candidate) {
    return HASH.newHasher()
        .putString(key.value(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(name(candidate), StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  private static String name(Candidate candidate) {
    if (candidate instanceof Candidate.Server server) {
      return server.server().value();
    }
    return ((Candidate.Zone) candidate).zone().value();
  }

  private static PlacementDecision placeAt(Candidate candidate, String reason) {
    return new PlacementDecision.Place(candidate, reason);
  }
}
