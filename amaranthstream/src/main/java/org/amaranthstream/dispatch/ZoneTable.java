package org.amaranthstream.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.membership.ZoneView;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.placement.LinkBudget;
import org.amaranthstream.placement.Locality;

/**
 * A table of the other availability zones and the requests forwarded to them. Used on the decision
 * thread only.
 */
final class ZoneTable {
  /** Estimated size of a generated token on a peer link. */
  private static final long BYTES_PER_TOKEN = 8;

  private final BackendDirectory directory;
  private final RegionId localRegion;
  private final LinkBudget budget;
  private final long maxAgeNanos;
  private final Map<AvailabilityZoneId, List<ForwardedAttempt>> running = new HashMap<>();
  private final Map<AvailabilityZoneId, Long> backoffEndNanos = new HashMap<>();

  ZoneTable(BackendDirectory directory, RegionId localRegion, LinkBudget budget, long maxAgeNanos) {
    this.directory = directory;
    this.localRegion = localRegion;
    this.budget = budget;
    this.maxAgeNanos = maxAgeNanos;
  }

  /**
   * Returns the zones that may run {@code request}. A request that was forwarded already, or that
   * has received part of its response, is not forwarded.
   */
  ImmutableList<Candidate> candidates(ActiveRequest request, long nowNanos) {
    Work work = request.work;
    if (work.forwarded() || request.partial.tokens() > 0) {
      return ImmutableList.of();
    }
    ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
    for (ZoneView view : directory.remote(work.pool())) {
      if (isEligible(view, request, nowNanos)) {
        candidates.add(candidate(view, work.pool(), nowNanos));
      }
    }
    return candidates.build();
  }

  private boolean isEligible(ZoneView view, ActiveRequest request, long nowNanos) {
    Work work = request.work;
    if (view.slots() == 0 || request.failedZones.contains(view.zone())) {
      return false;
    }
    if (nowNanos - view.takenNanos() > maxAgeNanos) {
      return false;
    }
    if (work.minimumVersion().isPresent()
        && (view.version().isEmpty()
            || work.minimumVersion().get().isAfter(view.version().get()))) {
      return false;
    }
    return view.region().equals(localRegion) || budget.allows(bytes(work), nowNanos);
  }

  private Candidate candidate(ZoneView view, PoolId pool, long nowNanos) {
    long forwardedSince =
        running.getOrDefault(view.zone(), List.of()).stream()
            .filter(attempt -> attempt.request.work.pool().equals(pool))
            .filter(attempt -> attempt.startNanos - view.takenNanos() >= 0)
            .count();
    int load = view.running() + view.queued() + (int) forwardedSince;
    boolean backingOff = isBackingOff(view.zone(), nowNanos);
    Locality locality =
        view.region().equals(localRegion) ? Locality.SAME_REGION : Locality.OTHER_REGION;
    return new Candidate.Zone(
        view.zone(), locality, backingOff ? Math.max(load, view.slots()) : load, view.slots());
  }

  private boolean isBackingOff(AvailabilityZoneId zone, long nowNanos) {
    Long end = backoffEndNanos.get(zone);
    return end != null && nowNanos - end < 0;
  }

  /** Treats {@code zone} as full until {@code untilNanos}. */
  void backOff(AvailabilityZoneId zone, long untilNanos) {
    backoffEndNanos.put(zone, untilNanos);
  }

  /** Adds a forwarded attempt and charges the link budget if the zone is in another region. */
  void started(ForwardedAttempt attempt, Locality locality, long nowNanos) {
    running.computeIfAbsent(attempt.zone, z -> new ArrayList<>()).add(attempt);
    if (locality == Locality.OTHER_REGION) {
      budget.spend(bytes(attempt.request.work), nowNanos);
    }
  }

  /** Removes a forwarded attempt. */
  void ended(ForwardedAttempt attempt) {
    running.getOrDefault(attempt.zone, new ArrayList<>()).remove(attempt);
  }

  private static long bytes(Work work) {
    if (work.payload() instanceof Payload.Generate generate) {
      return generate.prompt().length() + generate.maxTokens() * BYTES_PER_TOKEN;
    }
    return 2L * ((Payload.Call) work.payload()).body().length;
  }
}
