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

/** Sends waiting requests as long as a place has room. Used on the decision thread only. */
final class QueuePump {
  /** Requests with needs of their own that one search looks at. */
  private static final int MAX_SPECIAL = 64;

  private final TimerService timers;
  private final PlacementPolicy placement;
  private final Shared shared;
  private final BiConsumer<ActiveRequest, Candidate> sender;
  private final Set<PoolId> atWork = new HashSet<>();

  QueuePump(
      TimerService timers,
      PlacementPolicy placement,
      Shared shared,
      BiConsumer<ActiveRequest, Candidate> sender) {
    this.timers = timers;
    this.placement = placement;
    this.shared = shared;
    this.sender = sender;
  }

  /** Sends what can be sent. A call from within a send is served by the outer one. */
  void run(PoolId pool, PoolQueue queue) {
    if (queue.size() == 0 || !atWork.add(pool)) {
      return;
    }
    try {
      boolean sent = true;
      while (sent && queue.size() > 0) {
        sent = sendOne(pool, queue);
      }
    } finally {
      atWork.remove(pool);
    }
  }

  private boolean sendOne(PoolId pool, PoolQueue queue) {
    long now = timers.nowNanos();
    Optional<QueueOrder.Turn> turn =
        queue.turn(shared.estimates().slotNanos(pool), () -> shared.finder().slots(pool), now);
    Set<Priority> full = EnumSet.noneOf(Priority.class);
    int special = 0;
    for (ActiveRequest request : queue.inOrder(turn)) {
      boolean plain = request.isUnconstrained() && !isSuspect(request, now);
      if (plain && full.contains(request.priority())) {
        continue;
      }
      if (!plain && ++special > MAX_SPECIAL) {
        break;
      }
      ImmutableList<Candidate> candidates = shared.finder().candidates(request, now);
      if (placement.place(request.work.affinity(), candidates)
          instanceof PlacementDecision.Place place) {
        send(queue, turn, request, place);
        return true;
      }
      if (plain) {
        full.add(request.priority());
      }
    }
    return false;
  }

  private boolean isSuspect(ActiveRequest request, long nowNanos) {
    return shared.poison().isSuspect(request.fingerprint, nowNanos);
  }

  private void send(
      PoolQueue queue,
      Optional<QueueOrder.Turn> turn,
      ActiveRequest request,
      PlacementDecision.Place place) {
    queue.remove(request);
    queue.onSent(turn, request);
    boolean local = place.candidate() instanceof Candidate.Server;
    String choice =
        local
            ? ((Candidate.Server) place.candidate()).server().value()
            : ((Candidate.Zone) place.candidate()).zone().value();
    shared
        .recorder()
        .record(request, local ? DecisionKind.PLACE : DecisionKind.FORWARD, choice, place.reason());
    sender.accept(request, place.candidate());
  }
}
