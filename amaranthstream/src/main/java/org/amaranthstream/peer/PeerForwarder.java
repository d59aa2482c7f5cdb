package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.ZoneForwarder;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.peer.wire.ForwardChunk;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Forwarder of work over the peer links. It sends the work to the linked entry VM of the zone that
 * has the fewest requests in flight from this process.
 *
 * <p>The outcome is {@link Outcome.NotRun} only if no link accepts the frame or the other entry VM
 * returns it. The listener of cancelled work gets no further call.
 *
 * <p>Used on the decision thread only.
 */
final class PeerForwarder implements ZoneForwarder {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final MembershipTable table;
  private final PeerLinks links;
  private final OutgoingForwards forwards;
  private final TimerService timers;
  private final Map<RequestId, Long> idsByRequest = new HashMap<>();

  PeerForwarder(
      MembershipTable table, PeerLinks links, OutgoingForwards forwards, TimerService timers) {
    this.table = table;
    this.links = links;
    this.forwards = forwards;
    this.timers = timers;
  }

  @Override
  public void forward(AvailabilityZoneId zone, Work work, WorkListener listener) {
    ResultCode code = ResultCode.NOT_RUN_ZONE_UNREACHABLE;
    String reason = "no link to an entry VM of zone " + zone;
    for (PeerLink link : candidates(zone)) {
      long id = forwards.newId();
      SendResult sent =
          forwards.send(
              link,
              WorkCodec.encodeWork(id, work, timers.nowNanos()),
              work.deadlineNanos(),
              new Forwarding(id, work.id(), listener));
      if (sent == SendResult.SENT) {
        idsByRequest.put(work.id(), id);
        return;
      }
      if (sent == SendResult.FULL) {
        code = ResultCode.NOT_RUN_QUEUE_FULL;
      }
      reason = "link to entry VM " + link.target() + ": " + sent;
    }
    listener.onOutcome(new Outcome.NotRun(ErrorDetail.of(code, reason), Optional.of(RETRY_AFTER)));
  }

  private ImmutableList<PeerLink> candidates(AvailabilityZoneId zone) {
    return table.forwardTargets(zone).stream()
        .flatMap(vm -> links.ready(vm).stream())
        .sorted(Comparator.comparingInt(link -> forwards.inFlight(link.target())))
        .collect(ImmutableList.toImmutableList());
  }

  @Override
  public void cancel(RequestId request) {
    Long id = idsByRequest.remove(request);
    if (id != null) {
      forwards.cancel(id);
    }
  }

  /** Work that a peer runs. */
  private final class Forwarding implements OutgoingForwards.Listener {
    private final long id;
    private final RequestId request;
    private final WorkListener listener;

    private Forwarding(long id, RequestId request, WorkListener listener) {
      this.id = id;
      this.request = request;
      this.listener = listener;
    }

    @Override
    public void onChunk(ForwardChunk chunk) {
      listener.onChunk(WorkCodec.decodeChunk(chunk));
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
      complete(OutcomeCodec.decode(outcome));
    }

    @Override
    public void onOutcomeUnknown(Outcome.OutcomeUnknown outcome) {
      complete(outcome);
    }

    private void complete(Outcome outcome) {
      idsByRequest.remove(request, id);
      listener.onOutcome(outcome);
    }
  }
}
