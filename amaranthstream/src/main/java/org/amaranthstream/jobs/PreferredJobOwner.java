package org.amaranthstream.jobs;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.RendezvousHash;

/**
 * Selection of the daemon that should own the jobs of a trainer that arrive in an availability
 * zone.
 *
 * <p>A pure function of the registered daemons. An owner keeps a connection to a backend server for
 * each run. Made for zones of many daemons, where each job of a trainer arrives at another one:
 * each would open all connections anew. In a small zone the next job arrives at a former owner
 * soon. An owner handles every event of its jobs, so weak VMs are left out where VMs differ. This
 * is only a preference: the store decides who owns a job.
 */
final class PreferredJobOwner {
  /** The number of daemons above which successive jobs seldom arrive at the same one. */
  private static final int MAX_ZONE_WITHOUT_PREFERENCE = 3;

  /** The share of the strongest VM's processor time that a preferred owner has at least. */
  private static final double MIN_STRENGTH = 0.5;

  private PreferredJobOwner() {}

  /**
   * Returns the preferred owner of a job, empty if it is the daemon {@code self} at which the job
   * has arrived, or if the zone is small.
   */
  static Optional<EntryVmId> of(JobSpec spec, FleetNode self, Collection<FleetNode> nodes) {
    List<FleetNode> zone = nodes.stream().filter(node -> node.zone().equals(self.zone())).toList();
    if (zone.size() <= MAX_ZONE_WITHOUT_PREFERENCE) {
      return Optional.empty();
    }
    return Optional.of(RendezvousHash.order(trainer(spec), strong(zone)).get(0))
        .filter(vm -> !vm.equals(self.vm()));
  }

  /** Returns the daemons with enough processor time; all of them where it is unknown. */
  private static List<EntryVmId> strong(List<FleetNode> zone) {
    double most = zone.stream().mapToDouble(node -> node.cores().orElse(0)).max().orElse(0);
    return zone.stream()
        .filter(node -> node.cores().orElse(0) >= most * MIN_STRENGTH)
        .map(FleetNode::vm)
        .toList();
  }

  /** Returns what the jobs of a trainer have in common; the end of the path names the job. */
  private static String trainer(JobSpec spec) {
    String prefix = spec.path().substring(0, spec.path().lastIndexOf('/') + 1);
    return spec.host() + prefix + " " + spec.model();
  }
}
