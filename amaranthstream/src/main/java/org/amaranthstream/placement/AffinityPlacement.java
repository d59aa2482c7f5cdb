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
 * Chooses the nearest candidates with room; among them by affinity within a load bound, else the
 * less loaded of two drawn at random.
 *
 * <p>Requests with one affinity key go to the server that wins the rendezvous hash, as long as its
 * share of its limit stays within {@code bound} times the mean share; then to the next in the order
 * of the hash. Not thread safe: the random source is not shared.
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

  /** Returns a policy that lets a server exceed the mean load by a quarter. */
  public static AffinityPlacement create(RandomGenerator random) {
    return withBound(random, DEFAULT_BOUND);
  }

  /**
   * Returns a policy with another bound.
   *
   * @param bound greatest share of a server relative to the mean share, at least 1
   */
  public static AffinityPlacement withBound(RandomGenerator random, double bound) {
    checkArgument(bound >= 1, "bound is less than 1: %s", bound);
    return new AffinityPlacement(random, bound);
  }

  @Override
  public PlacementDecision place(
      Optional<AffinityKey> affinity, ImmutableList<Candidate> candidates) {
    for (Locality locality : Locality.values()) {
      ImmutableList<Candidate> open =
          candidates.stream()
              .filter(c -> c.locality() == locality && c.hasRoom())
              .collect(ImmutableList.toImmutableList());
      if (!open.isEmpty()) {
        return choose(affinity, open, locality);
      }
    }
    return new PlacementDecision.NoRoom("all " + candidates.size() + " candidates are full");
  }

  private PlacementDecision choose(
      Optional<AffinityKey> affinity, ImmutableList<Candidate> open, Locality locality) {
    if (open.size() == 1) {
      return placeAt(open.get(0), "the only candidate with room, " + locality);
    }
    if (affinity.isPresent()) {
      return chooseByAffinity(affinity.get(), open);
    }
    return chooseOfTwo(open);
  }

  private PlacementDecision chooseOfTwo(ImmutableList<Candidate> open) {
    int i = random.nextInt(open.size());
    int j = random.nextInt(open.size() - 1);
    Candidate first = open.get(i);
    Candidate second = open.get(j < i ? j : j + 1);
    Candidate less = share(second) < share(first) ? second : first;
    Candidate more = less == first ? second : first;
    return placeAt(
        less,
        String.format(
            "load %d/%d against %d/%d", less.load(), less.limit(), more.load(), more.limit()));
  }

  private PlacementDecision chooseByAffinity(AffinityKey key, ImmutableList<Candidate> open) {
    double mean = open.stream().mapToDouble(AffinityPlacement::share).average().orElseThrow();
    Candidate best = null;
    long bestScore = 0;
    int overBound = 0;
    for (Candidate candidate : open) {
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
      return chooseOfTwo(open);
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
