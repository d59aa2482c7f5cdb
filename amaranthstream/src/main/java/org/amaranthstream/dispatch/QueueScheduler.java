package org.amaranthstream.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.decisions.DecisionKind;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.placement.PlacementDecision;
import org.amaranthstream.placement.PlacementPolicy;
import org.amaranthstream.time.TimerService;

/**
 * Scheduler that sends waiting requests while a server or zone has capacity. Used on the decision
 * thread only.
 */
final class QueueScheduler {
  /**
   * Maximum number of constrained requests that one search examines. A request is constrained if it
   * requires a weight version, has failed on a server or in a zone, or is suspect, so that its
   * candidates differ from those of other requests of its priority.
   */
  private static final int MAX_CONSTRAINED_REQUESTS = 64;

  private final TimerService timers;
  private final PlacementPolicy placement;
  private final DispatchContext context;
  private final BiConsumer<ActiveRequest, Candidate> sender;
  private final Set<PoolId> runningPools = new HashSet<>();

  QueueScheduler(
      TimerService timers,
      PlacementPolicy placement,
      DispatchContext context,
      BiConsumer<ActiveRequest, Candidate> sender) {
    this.timers = timers;
    this.placement = placement;
    this.context = context;
    this.sender = sender;
  }

  /**
   * Sends waiting requests until none can be sent. A reentrant call for the same pool returns at
   * once, because the outer call continues.
   */
  void run(PoolId pool, PoolQueue queue) {
    if (queue.size() == 0 || !runningPools.add(pool)) {
      return;
    }
    try {
      boolean isSent = true;
      while (isSent && queue.size() > 0) {
        isSent = sendOne(pool, queue);
      }
    } finally {
      runningPools.remove(pool);
    }
  }

  private boolean sendOne(PoolId pool, PoolQueue queue) {
    long now = timers.nowNanos();
    Optional<QueueOrder.Turn> turn =
        queue.turn(context.estimates().slotNanos(pool), () -> context.finder().slots(pool), now);
    Set<Priority> fullPriorities = EnumSet.noneOf(Priority.class);
    int constrained = 0;
    for (ActiveRequest request : queue.inOrder(turn)) {
      boolean isUnconstrained = request.isUnconstrained() && !isSuspect(request, now);
      if (isUnconstrained && fullPriorities.contains(request.priority())) {
        continue;
      }
      if (!isUnconstrained && ++constrained > MAX_CONSTRAINED_REQUESTS) {
        break;
      }
      ImmutableList<Candidate> candidates = context.finder().candidates(request, now);
      if (placement.place(request.work.affinity(), candidates)
          instanceof PlacementDecision.Place place) {
        send(queue, turn, request, place);
        return true;
      }
      if (isUnconstrained) {
        fullPriorities.add(request.priority());
      }
    }
    return false;
  }

  private boolean isSuspect(ActiveRequest request, long nowNanos) {
    return context.quarantine().isSuspect(request, nowNanos);
  }

  private void send(
      PoolQueue queue,
      Optional<QueueOrder.Turn> turn,
      ActiveRequest request,
      PlacementDecision.Place place) {
    queue.remove(request);
    queue.onSent(turn, request);
    boolean isLocal = place.candidate() instanceof Candidate.Server;
    String choice =
        isLocal
            ? ((Candidate.Server) place.candidate()).server().value()
            : ((Candidate.Zone) place.candidate()).zone().value();
    context
        .recorder()
        .record(
            request, isLocal ? DecisionKind.PLACE : DecisionKind.FORWARD, choice, place.reason());
    sender.accept(request, place.candidate());
  }
}
