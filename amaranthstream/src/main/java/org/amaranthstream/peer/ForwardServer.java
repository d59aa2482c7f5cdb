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
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Runs the work that peers forward. A forward id is run at most once: the ids of one sender rise,
 * and one that does not is refused with an unknown outcome.
 *
 * <p>Used on the decision thread only.
 */
final class ForwardServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_OPEN_PER_LINK = 1024;
  private static final int MAX_SENDERS = 2048;

  private final MembershipTable table;
  private final WorkRunner runner;
  private final TimerService timers;
  private final Map<RequestId, Running> running = new HashMap<>();
  private final Map<LocalVm, Long> highestIds =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<LocalVm, Long> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  ForwardServer(MembershipTable table, WorkRunner runner, TimerService timers) {
    this.table = table;
    this.runner = runner;
    this.timers = timers;
  }

  void onForward(InboundLink link, Forward forward) {
    long id = forward.getId();
    if (id <= highestIds.getOrDefault(link.peer(), 0L)) {
      refuseDuplicate(link, id);
      return;
    }
    highestIds.put(link.peer(), id);
    if (table.phase() == VmPhase.LEAVING) {
      refuse(link, id, ResultCode.NOT_RUN_SHUTTING_DOWN, "the entry VM leaves");
    } else if (link.forwards().size() >= MAX_OPEN_PER_LINK) {
      refuse(link, id, ResultCode.NOT_RUN_QUEUE_FULL, "too many forwarded requests are open");
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
      refuse(link, id, ResultCode.NOT_RUN_ZONE_UNREACHABLE, "the request cannot be read");
      return;
    }
    Running earlier = running.get(work.id());
    if (earlier != null) {
      stop(earlier);
    }
    Running started = new Running(link, id, work.id());
    running.put(work.id(), started);
    link.forwards().put(id, work.id());
    runner.submit(work, started);
  }

  private void refuseDuplicate(InboundLink link, long id) {
    ErrorDetail error =
        ErrorDetail.of(ResultCode.OUTCOME_UNKNOWN_PRIOR_RUN, "the forward id was seen before");
    sendOutcome(link, id, new Outcome.OutcomeUnknown(error));
  }

  private static void refuse(InboundLink link, long id, ResultCode code, String message) {
    sendOutcome(link, id, new Outcome.NotRun(ErrorDetail.of(code, message), Optional.empty()));
  }

  private static void sendOutcome(InboundLink link, long id, Outcome outcome) {
    link.sendOrClose(
        Frame.newBuilder().setForwardOutcome(OutcomeCodec.encode(id, outcome)).build());
  }

  void onCancel(InboundLink link, long id) {
    RequestId request = link.forwards().get(id);
    if (request != null) {
      stop(running.get(request));
    }
  }

  /** Cancels what ran for a connection that is gone. */
  void onLinkClosed(InboundLink link) {
    List.copyOf(link.forwards().values()).forEach(request -> stop(running.get(request)));
  }

  private void stop(Running stopped) {
    stopped.end();
    runner.cancel(stopped.request);
  }

  int runningCount() {
    return running.size();
  }

  /** Passes the answer of one forwarded request on to its sender. */
  private final class Running implements WorkListener {
    private final InboundLink link;
    private final long id;
    private final RequestId request;
    private boolean ended;

    private Running(InboundLink link, long id, RequestId request) {
      this.link = link;
      this.id = id;
      this.request = request;
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
        stop(this);
        sendOutcome(
            link,
            id,
            new Outcome.OutcomeUnknown(
                ErrorDetail.of(
                    ResultCode.BACKEND_ANSWER_INVALID, "part of the answer exceeds a frame")));
      } else if (sent != SendResult.SENT) {
        stop(this);
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
