package org.amaranthstream.peer;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.dispatch.WorkListener;
import org.amaranthstream.dispatch.WorkRunner;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.VmPhase;
import org.amaranthstream.peer.wire.Forward;
import org.amaranthstream.peer.wire.ForwardFlow;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Server side of forwarded work. A forward id runs at most once: the ids of one sender increase,
 * and an id that is not greater than all earlier ones is rejected with an unknown outcome.
 *
 * <p>Used on the decision thread only.
 */
final class ForwardServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_OPEN_FORWARDS_PER_LINK = 1024;
  private static final int MAX_SENDERS = 2048;

  private final MembershipTable table;
  private final WorkRunner runner;
  private final ExchangeHandler exchangeHandler;
  private final TimerService timers;
  private final Map<RequestId, RunningForward> running = new HashMap<>();
  private final Map<LocalVm, Long> highestIds =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<LocalVm, Long> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  ForwardServer(
      MembershipTable table,
      WorkRunner runner,
      ExchangeHandler exchangeHandler,
      TimerService timers) {
    this.table = table;
    this.runner = runner;
    this.exchangeHandler = exchangeHandler;
    this.timers = timers;
  }

  void onForward(InboundLink link, Forward forward) {
    long id = forward.getId();
    if (id <= highestIds.getOrDefault(link.peer(), 0L)) {
      rejectDuplicate(link, id);
      return;
    }
    highestIds.put(link.peer(), id);
    if (table.phase() == VmPhase.LEAVING) {
      reject(link, id, ResultCode.NOT_RUN_SHUTTING_DOWN, "the entry VM is shutting down");
    } else if (link.forwards().size() >= MAX_OPEN_FORWARDS_PER_LINK) {
      reject(
          link,
          id,
          ResultCode.NOT_RUN_QUEUE_FULL,
          "the limit of open forwarded requests on the link is reached");
    } else if (forward.getPayloadCase() == Forward.PayloadCase.EXCHANGE) {
      new IncomingExchange(link, forward.getId()).start(exchangeHandler, forward);
    } else {
      run(link, forward);
    }
  }

  private void run(InboundLink link, Forward forward) {
    long id = forward.getId();
    Work work;
    try {
      work = WorkCodec.decodeWork(forward, timers.nowNanos());
    } catch (IllegalArgumentException e) {
      logger.atWarning().log(
          "event=forward_invalid vm=%s reason=\"%s\"", link.peer().id(), e.getMessage());
      reject(link, id, ResultCode.NOT_RUN_ZONE_UNREACHABLE, "the forwarded request is invalid");
      return;
    }
    RunningForward earlier = running.get(work.id());
    if (earlier != null) {
      earlier.stop();
    }
    RunningForward started = new RunningForward(link, id, work.id());
    running.put(work.id(), started);
    link.forwards().put(id, started);
    runner.submit(work, started);
  }

  private void rejectDuplicate(InboundLink link, long id) {
    ErrorDetail error =
        ErrorDetail.of(
            ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN,
            "the forward id is not greater than all earlier ones");
    sendOutcome(link, id, new Outcome.OutcomeUnknown(error));
  }

  private static void reject(InboundLink link, long id, ResultCode code, String message) {
    sendOutcome(link, id, new Outcome.NotRun(ErrorDetail.of(code, message), Optional.empty()));
  }

  private static void sendOutcome(InboundLink link, long id, Outcome outcome) {
    link.sendOrClose(
        Frame.newBuilder().setForwardOutcome(OutcomeCodec.encode(id, outcome)).build());
  }

  void onCancel(InboundLink link, long id) {
    IncomingForward forward = link.forwards().get(id);
    if (forward != null) {
      forward.stop();
    }
  }

  void onFlow(InboundLink link, ForwardFlow flow) {
    IncomingForward forward = link.forwards().get(flow.getId());
    if (forward != null) {
      forward.setPaused(flow.getPaused());
    }
  }

  /** Cancels the work that was forwarded on a closed connection. */
  void onLinkClosed(InboundLink link) {
    List.copyOf(link.forwards().values()).forEach(IncomingForward::stop);
  }

  int runningCount() {
    return running.size();
  }

  /** Listener that sends the response of one forwarded request to the sender. */
  private final class RunningForward implements WorkListener, IncomingForward {
    private final InboundLink link;
    private final long id;
    private final RequestId request;
    private boolean ended;

    private RunningForward(InboundLink link, long id, RequestId request) {
      this.link = link;
      this.id = id;
      this.request = request;
    }

    @Override
    public void stop() {
      end();
      runner.cancel(request);
    }

    private void end() {
      ended = true;
      running.remove(request, this);
      link.forwards().remove(id);
    }

    @Override
    public void onChunk(Chunk chunk) {
      if (ended) {
        return;
      }
      Frame frame = Frame.newBuilder().setForwardChunk(WorkCodec.encodeChunk(id, chunk)).build();
      SendResult sent = link.send(frame);
      if (sent == SendResult.TOO_LARGE) {
        stop();
        sendOutcome(
            link,
            id,
            new Outcome.OutcomeUnknown(
                ErrorDetail.of(
                    ResultCode.BACKEND_ANSWER_INVALID,
                    "a chunk of the response exceeds the maximum frame size")));
      } else if (sent != SendResult.SENT) {
        stop();
        link.close();
      }
    }

    @Override
    public void onOutcome(Outcome outcome) {
      if (!ended) {
        end();
        sendOutcome(link, id, outcome);
      }
    }
  }
}
