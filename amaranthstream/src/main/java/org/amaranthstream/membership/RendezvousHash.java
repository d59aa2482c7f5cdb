package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

/**
 * Rendezvous hashing. All daemons compute the same order of the same members for a key. Adding or
 * removing a member changes the first member only for those keys for which that member is first.
 *
 * <p>Members are hashed by their {@code toString()}, so changing it changes the order.
 *
 * <p>Stateless and thread safe.
 */
public final class RendezvousHash {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private RendezvousHash() {}

  /** Returns {@code members} in the order for {@code key}, the preferred one first. */
  public static <T extends Comparable<T>> ImmutableList<T> order(
      String key, Collection<T> members) {
    Comparator<Weighted<T>> byDescendingWeight =
        Comparator.<Weighted<T>>comparingLong(Weighted::weight)
            .reversed()
            .thenComparing(Weighted::member);
    return members.stream()
        .map(member -> new Weighted<>(member, weight(key, member.toString())))
        .sorted(byDescendingWeight)
        .map(Weighted::member)
        .collect(ImmutableList.toImmutableList());
  }

  private static long weight(String key, String member) {
    return HASH.newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putChar('\n')
        .putString(member, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  private record Weighted<T>(T member, long weight) {}
}
