package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.ZoneForwarder;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.peer.wire.ForwardCancel;
import org.amaranthstream.peer.wire.ForwardChunk;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Forwarder of work over the peer links. It sends the work to the linked entry VM of the zone that
 * has the fewest requests in flight from this process.
 *
 * <p>The outcome is {@link Outcome.NotRun} only if no link accepts the frame or the other entry VM
 * returns it. Once a link has accepted the frame, a lost link or a timeout gives {@link
 * Outcome.OutcomeUnknown}. The listener of cancelled work gets no further call.
 *
 * <p>Used on the decision thread only.
 */
final class PeerForwarder implements ZoneForwarder {
  private static final Duration DEADLINE_GRACE = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final MembershipTable table;
  private final PeerLinks links;
  private final TimerService timers;
  private final Map<Long, OpenForward> openForwards = new HashMap<>();
  private final Map<RequestId, Long> idsByRequest = new HashMap<>();
  private final Map<EntryVmId, Integer> inFlight = new HashMap<>();
  private long nextId = 1;

  PeerForwarder(MembershipTable table, PeerLinks links, TimerService timers) {
    this.table = table;
    this.links = links;
    this.timers = timers;
  }

  @Override
  public void forward(AvailabilityZoneId zone, Work work, WorkListener listener) {
    ResultCode code = ResultCode.NOT_RUN_ZONE_UNREACHABLE;
    String reason = "no link to an entry VM of zone " + zone;
    for (PeerLink link : candidates(zone)) {
      long id = nextId++;
      Frame frame =
          Frame.newBuilder().setForward(WorkCodec.encodeWork(id, work, timers.nowNanos())).build();
      SendResult sent = link.send(frame);
      if (sent == SendResult.SENT) {
        add(id, new OpenForward(link.target(), work, listener));
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
        .sorted(Comparator.comparingInt(link -> inFlight.getOrDefault(link.target(), 0)))
        .collect(ImmutableList.toImmutableList());
  }

  private void add(long id, OpenForward forward) {
    openForwards.put(id, forward);
    idsByRequest.put(forward.work.id(), id);
    inFlight.merge(forward.to, 1, Integer::sum);
  }

  private void remove(long id, OpenForward forward) {
    openForwards.remove(id);
    idsByRequest.remove(forward.work.id(), id);
    inFlight.computeIfPresent(forward.to, (vm, count) -> count > 1 ? count - 1 : null);
  }

  @Override
  public void cancel(RequestId request) {
    Long id = idsByRequest.get(request);
    if (id != null) {
      OpenForward forward = openForwards.get(id);
      remove(id, forward);
      sendCancel(id, forward.to);
    }
  }

  private void sendCancel(long id, EntryVmId to) {
    Frame frame = Frame.newBuilder().setForwardCancel(ForwardCancel.newBuilder().setId(id)).build();
    // If the cancel is not sent, the work runs until its deadline at the latest.
    links.ready(to).ifPresent(link -> link.send(frame));
  }

  /** Passes a chunk of a response to its listener. A chunk of an unknown forward is ignored. */
  void onChunk(PeerLink link, ForwardChunk chunk) {
    OpenForward forward = openForwards.get(chunk.getId());
    if (forward == null || !forward.to.equals(link.target())) {
      return;
    }
    try {
      forward.listener.onChunk(WorkCodec.decodeChunk(chunk));
    } catch (IllegalArgumentException e) {
      sendCancel(chunk.getId(), forward.to);
      complete(
          chunk.getId(),
          forward,
          unknown(
              ResultCode.BACKEND_ANSWER_INVALID,
              "response of the peer is invalid: " + e.getMessage()));
    }
  }

  /** Completes a forward. The outcome of an unknown forward is ignored. */
  void onOutcome(PeerLink link, ForwardOutcome outcome) {
    OpenForward forward = openForwards.get(outcome.getId());
    if (forward != null && forward.to.equals(link.target())) {
      complete(outcome.getId(), forward, OutcomeCodec.decode(outcome));
    }
  }

  /** Completes the forwards sent on a lost connection, with an unknown outcome. */
  void onLinkLost(PeerLink link, String reason) {
    Outcome outcome =
        unknown(
            ResultCode.OUTCOME_UNKNOWN_PEER_LOST,
            "the link to entry VM " + link.target() + " was lost: " + reason);
    for (Map.Entry<Long, OpenForward> entry : openEntries()) {
      if (entry.getValue().to.equals(link.target())) {
        complete(entry.getKey(), entry.getValue(), outcome);
      }
    }
  }

  /** Completes the forwards that are overdue, with an unknown outcome. */
  void tick() {
    long now = timers.nowNanos();
    Outcome outcome =
        unknown(ResultCode.OUTCOME_UNKNOWN_DEADLINE, "no outcome from the peer by the deadline");
    for (Map.Entry<Long, OpenForward> entry : openEntries()) {
      long overdue = now - entry.getValue().work.deadlineNanos();
      if (overdue >= DEADLINE_GRACE.toNanos()) {
        sendCancel(entry.getKey(), entry.getValue().to);
        complete(entry.getKey(), entry.getValue(), outcome);
      }
    }
  }

  private List<Map.Entry<Long, OpenForward>> openEntries() {
    return new ArrayList<>(Map.copyOf(openForwards).entrySet());
  }

  private void complete(long id, OpenForward forward, Outcome outcome) {
    if (openForwards.get(id) == forward) {
      remove(id, forward);
      forward.listener.onOutcome(outcome);
    }
  }

  private static Outcome unknown(ResultCode code, String message) {
    return new Outcome.OutcomeUnknown(ErrorDetail.of(code, message));
  }

  int openCount() {
    return openForwards.size();
  }

  private static final class OpenForward {
    private final EntryVmId to;
    private final Work work;
    private final WorkListener listener;

    private OpenForward(EntryVmId to, Work work, WorkListener listener) {
      this.to = to;
      this.work = work;
      this.listener = listener;
    }
  }
}
