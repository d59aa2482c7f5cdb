package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetListener;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.fleet.NodesChange;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;

/**
 * Sweeper for orphaned jobs: after the loss of a daemon it lists the ownership records, and has the
 * jobs taken over whose owner no longer runs.
 *
 * <p>A few candidates sweep for each lost daemon, one after the other; three daemons sweep for all
 * others from time to time. Used on one thread.
 */
final class OrphanSweeper implements FleetListener {
  /** Delay between the takeover attempts of successive candidates for the same job. */
  private static final Duration TAKEOVER_STAGGER = Duration.ofMillis(1_500);

  /**
   * Delay before the takeover of a job that has ended. Unless a caller requests it earlier, such a
   * job needs an owner only so that it is removed from the store.
   */
  private static final Duration ENDED_JOB_TAKEOVER_DELAY = Duration.ofSeconds(20);

  /**
   * Interval at which three daemons sweep for jobs that no candidate has taken over, because all
   * candidates were lost or cut off as well.
   */
  private static final Duration BACKSTOP_INTERVAL = Duration.ofSeconds(5);

  /** Name, not of a VM, that selects the daemons which sweep for all others. */
  static final EntryVmId BACKSTOP = EntryVmId.of("backstop");

  /** Delay before a sweep, so that several losses of daemons share one. */
  private static final Duration SWEEP_DELAY = Duration.ofMillis(150);

  /** Delay before a failed listing is retried. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(400);

  private final Fleet fleet;
  private final FleetNode self;
  private final JobRegistry registry;
  private final TimerService timers;
  private final OwnershipCheck check;
  private final Orphans orphans;
  private boolean isScheduled;

  /** Decisions about orphaned jobs, and their takeover. */
  interface Orphans {
    /** Returns true if the daemon that the record names as the owner no longer runs the job. */
    boolean isOrphan(StoredOwner owner);

    /** Takes over an orphaned job. */
    void takeOver(StoredOwner orphan);
  }

  OrphanSweeper(
      Fleet fleet,
      FleetNode self,
      JobRegistry registry,
      TimerService timers,
      OwnershipCheck check,
      Orphans orphans) {
    this.fleet = fleet;
    this.self = self;
    this.registry = registry;
    this.timers = timers;
    this.check = check;
    this.orphans = orphans;
  }

  /** Starts to sweep after losses, and from time to time. */
  void start() {
    fleet.addListener(this);
    timers.every(BACKSTOP_INTERVAL, this::sweepAsBackstop);
  }

  @Override
  public void onNodesChanged(NodesChange change) {
    if (!isScheduled && change.lostVms().stream().anyMatch(vm -> rank(vm).isPresent())) {
      schedule();
    }
  }

  @Override
  public void onCaughtUp() {
    sweepAsBackstop();
  }

  private void sweepAsBackstop() {
    if (rank(BACKSTOP).isPresent()) {
      schedule();
    }
  }

  /** Returns the rank of this daemon among the candidates for the jobs of {@code lost}. */
  private OptionalInt rank(EntryVmId lost) {
    List<EntryVmId> registered = fleet.nodes().stream().map(FleetNode::vm).toList();
    int rank = TakeoverCandidates.of(lost, registered).indexOf(self.vm());
    return rank < 0 ? OptionalInt.empty() : OptionalInt.of(rank);
  }

  /** Schedules a sweep for orphaned jobs, unless one is scheduled already. */
  void schedule() {
    if (!isScheduled) {
      isScheduled = true;
      timers.after(SWEEP_DELAY, this::sweep);
    }
  }

  private void sweep() {
    isScheduled = false;
    check.listOwners().thenAccept(this::onOwners);
  }

  private void onOwners(Result<ImmutableList<StoredOwner>> result) {
    if (result instanceof Result.Success<ImmutableList<StoredOwner>> success) {
      success.value().stream().filter(orphans::isOrphan).forEach(this::takeOverInTurn);
    } else {
      timers.after(RETRY_DELAY, this::schedule);
    }
  }

  private void takeOverInTurn(StoredOwner orphan) {
    EntryVmId former = orphan.owner().vm();
    OptionalInt rank = former.equals(self.vm()) ? OptionalInt.of(0) : rank(former);
    if (rank.isPresent()) {
      Duration first = orphan.owner().isEnded() ? ENDED_JOB_TAKEOVER_DELAY : Duration.ZERO;
      Duration delay = first.plus(TAKEOVER_STAGGER.multipliedBy(rank.getAsInt()));
      timers.after(delay, () -> takeOverIfOrphan(orphan));
    }
  }

  private void takeOverIfOrphan(StoredOwner orphan) {
    boolean isKnownTakenOver =
        registry
            .cachedOwner(orphan.job())
            .filter(o -> o.revision().isAfter(orphan.revision()))
            .isPresent();
    if (!isKnownTakenOver && orphans.isOrphan(orphan)) {
      orphans.takeOver(orphan);
    }
  }
}
