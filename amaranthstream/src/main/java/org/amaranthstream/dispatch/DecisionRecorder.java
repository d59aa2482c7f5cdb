package org.amaranthstream.dispatch;

import org.amaranthstream.decisions.DecisionKind;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.decisions.DecisionRecord;
import org.amaranthstream.time.TimerService;

/** Recorder of the decisions on requests. Writes them to the decision log with the current time. */
final class DecisionRecorder {
  private final DecisionLog log;
  private final TimerService timers;

  DecisionRecorder(DecisionLog log, TimerService timers) {
    this.log = log;
    this.timers = timers;
  }

  void record(ActiveRequest request, DecisionKind kind, String choice, String reason) {
    log.record(new DecisionRecord(request.work.id(), kind, choice, reason, timers.nowNanos()));
  }
}
