package org.amaranthstream.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.peer.wire.Forward;
import org.amaranthstream.peer.wire.ForwardCancel;
import org.amaranthstream.peer.wire.ForwardChunk;
import org.amaranthstream.peer.wire.ForwardFlow;
import org.amaranthstream.peer.wire.ForwardOutcome;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Requests that this process has forwarded to peers, by the forward id that their responses name.
 *
 * <p>Once a link has accepted the frame, a lost link or a timeout gives {@link
 * Outcome.OutcomeUnknown}. Used on the decision thread only.
 */
final class OutgoingForwards {
  private static final Duration DEADLINE_GRACE = Duration.ofSeconds(1);

  private final PeerLinks links;
  private final TimerService timers;
  private final Map<Long, OpenForward> openForwards = new HashMap<>();
  private final Map<EntryVmId, Integer> inFlight = new HashMap<>();
  private long nextId = 1;

  /** Listener for one forwarded request. */
  interface Listener {
    /**
     * Receives a part of the response.
     *
     * @throws IllegalArgumentException if the part is invalid; the request is cancelled then
     */
    void onChunk(ForwardChunk chunk);

    /** Receives the outcome that the peer reports, as the last call. */
    void onOutcome(ForwardOutcome outcome);

    /** Receives the outcome if the peer reports none, as the last call. */
    void onOutcomeUnknown(Outcome.OutcomeUnknown outcome);
  }

  OutgoingForwards(PeerLinks links, TimerService timers) {
    this.links = links;
    this.timers = timers;
  }

  /** Returns an id for the next request. Ids increase, as each runs at most once. */
  long newId() {
    return nextId++;
  }

  /** Sends a request with an id from {@link #newId} over {@code link}. */
  SendResult send(PeerLink link, Forward forward, long deadlineNanos, Listener listener) {
    SendResult sent = link.send(Frame.newBuilder().setForward(forward).build());
    if (sent == SendResult.SENT) {
      OpenForward open = new OpenForward(link.target(), deadlineNanos, listener);
      openForwards.put(forward.getId(), open);
      inFlight.merge(open.to, 1, Integer::sum);
    }
    return sent;
  }

  private boolean remove(long id, OpenForward forward) {
    boolean isRemoved = openForwards.remove(id, forward);
    if (isRemoved) {
      inFlight.computeIfPresent(forward.to, (vm, count) -> count > 1 ? count - 1 : null);
    }
    return isRemoved;
  }

  /** Cancels a request, whose listener gets no further call. Unknown ids are ignored. */
  void cancel(long id) {
    OpenForward forward = openForwards.get(id);
    if (forward != null) {
      remove(id, forward);
      sendCancel(id, forward.to);
    }
  }

  private void sendCancel(long id, EntryVmId to) {
    Frame frame = Frame.newBuilder().setForwardCancel(ForwardCancel.newBuilder().setId(id)).build();
    // If the cancel is not sent, the request runs until its deadline at the latest.
    links.ready(to).ifPresent(link -> link.send(frame));
  }

  /** Pauses or resumes the response to a request. Unknown ids are ignored. */
  void setPaused(long id, boolean isPaused) {
    OpenForward forward = openForwards.get(id);
    if (forward != null) {
      ForwardFlow flow = ForwardFlow.newBuilder().setId(id).setPaused(isPaused).build();
      Frame frame = Frame.newBuilder().setForwardFlow(flow).build();
      // If the frame is not sent, the link is lost or full, and the request fails with it.
      links.ready(forward.to).ifPresent(link -> link.send(frame));
    }
  }

  /** Passes a part of a response to its listener. A part for an unknown id is ignored. */
  void onChunk(PeerLink link, ForwardChunk chunk) {
    OpenForward forward = openForwards.get(chunk.getId());
    if (forward == null || !forward.to.equals(link.target())) {
      return;
    }
    try {
      forward.listener.onChunk(chunk);
    } catch (IllegalArgumentException e) {
      sendCancel(chunk.getId(), forward.to);
      fail(
          chunk.getId(),
          forward,
          ResultCode.BACKEND_ANSWER_INVALID,
          "response of the peer is invalid: " + e.getMessage());
    }
  }

  /** Completes a request. The outcome for an unknown id is ignored. */
  void onOutcome(PeerLink link, ForwardOutcome outcome) {
    OpenForward forward = openForwards.get(outcome.getId());
    boolean isExpected = forward != null && forward.to.equals(link.target());
    if (isExpected && remove(outcome.getId(), forward)) {
      forward.listener.onOutcome(outcome);
    }
  }

  /** Completes the requests sent on a lost connection, with an unknown outcome. */
  void onLinkLost(PeerLink link, String reason) {
    for (Map.Entry<Long, OpenForward> entry : openEntries()) {
      if (entry.getValue().to.equals(link.target())) {
        fail(
            entry.getKey(),
            entry.getValue(),
            ResultCode.OUTCOME_UNKNOWN_PEER_LOST,
            "the link to entry VM " + link.target() + " was lost: " + reason);
      }
    }
  }

  /** Completes the requests that are overdue, with an unknown outcome. */
  void tick() {
    long now = timers.nowNanos();
    for (Map.Entry<Long, OpenForward> entry : openEntries()) {
      if (now - entry.getValue().deadlineNanos >= DEADLINE_GRACE.toNanos()) {
        sendCancel(entry.getKey(), entry.getValue().to);
        fail(
            entry.getKey(),
            entry.getValue(),
            ResultCode.OUTCOME_UNKNOWN_DEADLINE,
            "no outcome from the peer by the deadline");
      }
    }
  }

  private List<Map.Entry<Long, OpenForward>> openEntries() {
    return new ArrayList<>(Map.copyOf(openForwards).entrySet());
  }

  private void fail(long id, OpenForward forward, ResultCode code, String message) {
    if (remove(id, forward)) {
      forward.listener.onOutcomeUnknown(new Outcome.OutcomeUnknown(ErrorDetail.of(code, message)));
    }
  }

  /** Returns the number of open requests at {@code vm}. */
  int inFlight(EntryVmId vm) {
    return inFlight.getOrDefault(vm, 0);
  }

  int openCount() {
    return openForwards.size();
  }

  private record OpenForward(EntryVmId to, long deadlineNanos, Listener listener) {}
}
