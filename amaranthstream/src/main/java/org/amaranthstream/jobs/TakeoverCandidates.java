package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.RendezvousHash;

/**
 * Selection of the daemons that look for the jobs of a lost daemon and take them over.
 *
 * <p>A pure function of the registered daemons. Made for a fleet in which many daemons are lost in
 * a short time: if each remaining daemon read all jobs after each loss, the reads would grow with
 * the square of the fleet. The candidates differ from one lost daemon to the next, so that the jobs
 * of several lost daemons are spread.
 */
final class TakeoverCandidates {
  private static final int CANDIDATES = 3;

  private TakeoverCandidates() {}

  /**
   * Returns the daemons that take over the jobs of {@code lost}, in the order in which they try.
   *
   * @param registered the registered daemons
   */
  static ImmutableList<EntryVmId> of(EntryVmId lost, Collection<EntryVmId> registered) {
    return RendezvousHash.order("takeover/" + lost, registered).stream()
        .limit(CANDIDATES)
        .collect(ImmutableList.toImmutableList());
  }
}
